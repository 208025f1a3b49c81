package yardusher.core;

/** What a front asks for: a transaction before it is taken in. Class and plan are indexes of the settings. */
public record Order(int classIndex, int plan, long customer, double units, int first, int spread,
        double waitMs, Cargo cargo, Terminal terminal) { }

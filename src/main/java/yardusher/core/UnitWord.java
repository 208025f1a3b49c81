package yardusher.core;

/**
 * What a request says of a unit of work: the unit's name, null at an opening; the part's number from 1, 0 for none; and the
 * boundary that is said.
 */
public record UnitWord(String unit, int part, Said said) {
    /** Boundaries that a request can say. */
    public enum Said { NONE, OPEN, END, ABANDON }
}

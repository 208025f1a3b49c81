package yardusher.core;

/**
 * What a request says of a unit of work: the unit's name, null at an opening; the part's number from 1, 0 for none; and the
 * boundary that is said.
 */
public record UnitDirective(String unitName, int part, Boundary boundary) {
    /** Boundaries that a request can say. */
    public enum Boundary { NONE, OPEN, END, ABANDON }
}

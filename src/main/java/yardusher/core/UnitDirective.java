package yardusher.core;

/**
 * What a request says about a unit of work: the unit's name, null when it opens one; the part's number from 1, 0 for none; and
 * the boundary.
 */
public record UnitDirective(String unitName, int part, Boundary boundary) {
    /** Boundaries that a request can mark. */
    public enum Boundary { NONE, OPEN, END, ABANDON }
}

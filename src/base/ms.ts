/** A point in time or a duration, in milliseconds. Names that end in `AtMs` are points in time. */
export type Ms = number;

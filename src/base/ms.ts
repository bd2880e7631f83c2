/** A point in time or a duration, in milliseconds. Field names tell which: `...AtMs` is a point. */
export type Ms = number;

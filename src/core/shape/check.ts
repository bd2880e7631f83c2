/** Returns true if a value of unknown origin, such as parsed JSON, has the form that its reader relies on. */
export type Check = (value: unknown) => boolean;

/**
 * Bound on a record that this system writes to the store; its largest, of 512 origins of streams, have 80 KB. Parsing a
 * text of this length takes up to 12 ms of processor time, which is 50 ms at a quarter of a core.
 */
export const maxRecordLength = 262_144;

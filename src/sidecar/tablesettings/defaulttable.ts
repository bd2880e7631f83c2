import type { TableSettings } from './tablesettings.js';

const MEBIBYTE = 1_048_576;

/** Bounds of a table whose settings name none: a quarter of what a process may take. */
export const defaultTable: TableSettings = {
  tableBytes: 32 * MEBIBYTE,
  answerBytes: MEBIBYTE,
  maxValidMs: 600_000,
};

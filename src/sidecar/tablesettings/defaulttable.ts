import type { TableSettings } from './tablesettings.js';

const MEBIBYTE = 1_048_576;

/** Default limits of the run-once table. `tableBytes` is a quarter of the memory that a process may use. */
export const defaultTable: TableSettings = {
  tableBytes: 32 * MEBIBYTE,
  answerBytes: MEBIBYTE,
  maxValidMs: 600_000,
};

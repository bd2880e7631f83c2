import type { Context, RunOnce } from '../part/index.js';
import { Table, defaultTable } from '../runonce/index.js';

/** Run-at-most-once table of this sidecar. */
export function createRunOnce(context: Context): RunOnce {
  return new Table(context, { ...defaultTable, ...context.settings.tickets });
}

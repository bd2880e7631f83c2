import type { Context, RunOnce } from '../part/index.js';
import { Table } from '../runonce/index.js';
import { defaultTable } from '../tablesettings/index.js';

/** Run-at-most-once table of this sidecar. */
export function createRunOnce(context: Context): RunOnce {
  return new Table(context, { ...defaultTable, ...context.settings.tickets });
}

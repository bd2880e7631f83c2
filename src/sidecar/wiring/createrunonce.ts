import type { Context, RunOnce } from '../part/index.js';
import { RunOnceTable } from '../runonce/index.js';
import { defaultTable } from '../tablesettings/index.js';

/** Creates the run-at-most-once table. */
export function createRunOnce(context: Context): RunOnce {
  return new RunOnceTable(context, { ...defaultTable, ...context.settings.tickets });
}

import { join } from 'node:path';
import { entryCommand } from './entrycommand.js';

const SUSPENDABLE = join(import.meta.dirname, 'suspendable.js');

/** Returns the command of an entry for which SIGSTOP is a suspension; `isSteady` plants the `steady-clock` defect. */
export function suspendedCommand(isSteady: boolean): readonly string[] {
  const [node = '', program = ''] = entryCommand;
  return [node, SUSPENDABLE, program, ...(isSteady ? ['steady-clock'] : [])];
}

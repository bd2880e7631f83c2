import { join } from 'node:path';
import { entryCommand } from './entrycommand.js';

const SUSPENDABLE = join(import.meta.dirname, 'suspendable.js');

/** The entry with stops by signal that count as suspensions of its host; as a defect, it goes by the steady clock. */
export function suspendedCommand(isSteady: boolean): readonly string[] {
  const [node = '', program = ''] = entryCommand;
  return [node, SUSPENDABLE, program, ...(isSteady ? ['steady-clock'] : [])];
}

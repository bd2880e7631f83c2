import type { Ms } from '../../base/index.js';
import { overloadRules } from './overloadrules.js';

/** Returns true if a process that has listened for some time may close connections unread before it has refused others. */
export function mayClose(listeningForMs: Ms, isStopping: boolean): boolean {
  return !isStopping && listeningForMs >= overloadRules.startingMs;
}

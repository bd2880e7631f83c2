import type { EntryContext } from '../entrycontext.js';
import type { Caller } from './caller.js';

/** Handles one caller's request; resolves when nothing is left to do for it. */
export type Handler = (context: EntryContext, caller: Caller) => Promise<void>;

import type { Desk } from '../desk.js';
import type { Caller } from './caller.js';

/** Answers one caller's request, or has it answered, and resolves when that is done. */
export type Handler = (desk: Desk, caller: Caller) => Promise<void>;

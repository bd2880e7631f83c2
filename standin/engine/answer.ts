import type { ServerResponse } from 'node:http';
import type { Fault } from '../fault/fault.js';

/** An answer: the tokens generated so far and the response that they are streamed to. */
export interface Answer {
  readonly requestId: string;
  readonly model: string;
  readonly path: string;
  readonly stream: boolean;
  readonly promptTokens: number;
  readonly tokens: readonly string[];
  /** Number of tokens of the complete answer. */
  readonly wanted: number;
  readonly fault: Fault;
  /** Absent while no caller is connected. */
  readonly response?: ServerResponse;
}

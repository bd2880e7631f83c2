import type { ServerResponse } from 'node:http';
import type { Fault } from '../fault/fault.js';

/** One answer: its tokens so far, and who listens to it. */
export interface Answer {
  readonly requestId: string;
  readonly model: string;
  readonly path: string;
  readonly stream: boolean;
  readonly promptTokens: number;
  readonly tokens: readonly string[];
  /** Tokens of the whole answer. */
  readonly wanted: number;
  readonly fault: Fault;
  readonly response?: ServerResponse;
}

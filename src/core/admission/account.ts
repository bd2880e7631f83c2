import type { Inflow } from './inflow.js';

/** What one customer has here. */
export interface Account {
  /** Its part of the upstream by the shares of all customers; from 0 to 1. */
  part: number;
  /** Its requests that wait. */
  waiting: number;
  /** Work that was started lately: within its share, beyond it, and of the background. */
  readonly used: Readonly<Record<'within' | 'beyond' | 'background', Inflow>>;
}

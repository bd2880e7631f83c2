import type { Ms } from '../base/index.js';

/** The audit trail, with one entry for each action that changes state. */
export interface Audit {
  write(entry: {
    readonly wallMs: Ms;
    readonly actor: string;
    readonly act: string;
    readonly subject: string;
    readonly detail: Readonly<Record<string, string | number | boolean>>;
  }): void;
}

import type { Ms } from '../base/index.js';

/** Where each act that changes something is written down. */
export interface Audit {
  write(entry: {
    readonly wallMs: Ms;
    readonly actor: string;
    readonly act: string;
    readonly subject: string;
    readonly detail: Readonly<Record<string, string | number | boolean>>;
  }): void;
}

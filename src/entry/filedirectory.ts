import { readFileSync } from 'node:fs';
import { parse } from 'jsonc-parser';
import type { Revision } from '../base/index.js';
import type { ServiceDocument } from '../core/document/index.js';
import type { Directory } from './part/index.js';

/** Documents read from files once, for trials without a store. */
export class FileDirectory implements Directory {
  private readonly read: readonly ServiceDocument[];

  constructor(files: readonly string[]) {
    this.read = files.map((file) => parse(readFileSync(file, 'utf8')) as ServiceDocument);
  }

  revision(): Revision {
    return this.read.length as Revision;
  }

  documents(): readonly ServiceDocument[] {
    return this.read;
  }

  caughtUp(): boolean {
    return this.read.length > 0;
  }
}

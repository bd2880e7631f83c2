import type { Revision } from '../base/index.js';
import { readDocument, type ServiceDocument } from '../core/document/index.js';
import type { Log, Metrics } from '../port/index.js';
import type { Board, BoardRecord } from '../shell/board/index.js';
import type { Directory } from './component/index.js';

const DOCUMENT_PREFIX = 'document/';

/**
 * The service documents on the board, parsed once per change. If a new text cannot be parsed, the last valid document
 * stays in force; the failure is logged and counted.
 */
export class BoardDirectory implements Directory {
  private readonly inForce = new Map<string, ServiceDocument>();

  private all: readonly ServiceDocument[] = [];

  constructor(
    private readonly board: Board,
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {
    for (const record of board.list(DOCUMENT_PREFIX)) this.take(record);
    board.onChange(DOCUMENT_PREFIX, (record) => this.take(record));
  }

  revision(): Revision {
    return this.board.revision();
  }

  documents(): readonly ServiceDocument[] {
    return this.all;
  }

  caughtUp(): boolean {
    return this.board.caughtUp();
  }

  private take(record: BoardRecord): void {
    if (record.value.length === 0) this.inForce.delete(record.key);
    else this.replace(record);
    this.all = [...this.inForce.values()];
  }

  private replace(record: BoardRecord): void {
    const { key, sequence: revision } = record;
    const document = readDocument(record.value.toString());
    if (document.ok) {
      this.inForce.set(key, document.val);
      this.log.info('document in force', { key, revision });
      return;
    }
    const { type, detail } = document.val;
    this.metrics.count('directory.unreadable');
    this.log.error('document cannot be read; the last good one stays', {
      key,
      revision,
      type,
      detail,
    });
  }
}

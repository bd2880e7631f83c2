import type { ServerDuplexStream } from '@grpc/grpc-js';
import type { Revision } from '../base/index.js';
import type { Board } from '../shell/board/index.js';
import type { FrameBatch } from '../wire/index.js';
import type { RequestRunner } from './requestrunner.js';
import { Exchange } from './exchange.js';

/** The open streams from all entries. */
export class Exchanges {
  private readonly live = new Set<Exchange>();

  private leaving = false;

  constructor(
    private readonly runner: RequestRunner,
    private readonly board: Board,
  ) {}

  open(stream: ServerDuplexStream<FrameBatch, FrameBatch>): void {
    const exchange = new Exchange(stream, {
      run: (requestId, head, sink) => this.runner.run(requestId, head, sink),
      revision: () => this.board.revision(),
      observeRevision: (revision, from) => this.board.observeRevision(revision as Revision, from),
    });
    this.live.add(exchange);
    stream.on('close', () => this.live.delete(exchange));
    if (this.leaving) exchange.leave();
  }

  /** Notifies every entry that this sidecar is stopping. */
  leave(): void {
    this.leaving = true;
    for (const exchange of this.live) exchange.leave();
  }
}

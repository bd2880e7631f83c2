import type { ServerResponse } from 'node:http';

/** Why a request ends before its body was read. */
type DropReason = 'memory' | 'idle-body';

/** The connection of a request. */
interface Owner {
  charge(hold: CallerHold, bytes: number): void;
  readonly countChunk: (sizeBytes: number) => void;
  serveNext(): void;
}

/** What one request of a caller holds, from its head to the end of its answer. */
export class CallerHold {
  heldBytes = 0;

  /** True once the request is being served. */
  isUnderWay = false;

  /** Begins to serve the request; undefined unless it waits for its turn. */
  onTurn: (() => void) | undefined;

  /** Has the request refused whose body is being read. */
  onDrop: ((reason: DropReason) => void) | undefined;

  /** Frees what was read of the body. */
  onClear: (() => void) | undefined;

  constructor(
    readonly response: ServerResponse,
    private readonly owner: Owner,
  ) {}

  get isBodyComplete(): boolean {
    return this.response.req.complete;
  }

  /** Charges further bytes to the request. */
  charge(bytes: number): void {
    this.owner.charge(this, bytes);
  }

  /** Has to be called for each chunk of the body. */
  countChunk(sizeBytes: number): void {
    this.owner.countChunk(sizeBytes);
  }

  /** Calls a function that serves the request, at once or when earlier ones on its connection are answered. */
  whenTurn(serve: () => void): void {
    this.onTurn = serve;
    this.owner.serveNext();
  }
}

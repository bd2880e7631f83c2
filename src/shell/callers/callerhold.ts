import type { ServerResponse } from 'node:http';
import type { Ms } from '../../base/index.js';

/** Why a request ends before its body was read. */
type DropReason = 'memory' | 'idle-body';

/** The connection of a request. */
interface Owner {
  charge(hold: CallerHold, bytes: number): void;
  chargeAnswer(hold: CallerHold, bytes: number): void;
  readonly isMemoryShort: () => boolean;
  readonly countChunk: (sizeBytes: number) => void;
  serveNext(): void;
}

/** What one request of a caller holds, from its head to the end of its answer. */
export class CallerHold {
  heldBytes = 0;

  /** Part of it that is held of upstreams' answers. */
  answerBytes = 0;

  /** When memory was last taken for an answer. */
  answerAtMs: Ms = 0;

  /** Gives up the answer that is held, and ends the request if it cannot go on without. */
  onEvict: (() => void) | undefined;

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

  /** Charges memory that is taken for the request's answer; negative when it is given back. */
  chargeAnswer(bytes: number): void {
    this.owner.chargeAnswer(this, bytes);
  }

  /** True if little memory is left, so that answers are to be passed on rather than held. */
  get isMemoryShort(): boolean {
    return this.owner.isMemoryShort();
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

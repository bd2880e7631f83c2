import type { Incarnation, ModelId, AdapterId } from '../../src/base/index.js';
import { keyOfOrder, holdingKeyOf, type HoldingKey } from '../../src/core/ledger/index.js';
import type { EngineReport, Order } from '../../src/port/index.js';

interface Resident {
  readonly model: ModelId;
  readonly version: string;
  readonly adapter: AdapterId | undefined;
  readonly sizeBytes: number;
  phase: 'loading' | 'ready' | 'unloading';
}

/** KV cache bytes that the engine allocates in each role. */
const KV_CACHE_BYTES = { mixed: 10, prefill: 0, decode: 20 } as const;

/** Reference model of an engine's memory. It executes loads even if they exceed its capacity. */
export class ModelEngine {
  static readonly capacityBytes = 100;

  static readonly kvCacheBytes = KV_CACHE_BYTES;

  /** Number of the engine process, counted from 1; a restart increments it. */
  private processNumber = 1;

  private sequence = 0;

  /**
   * Highest fencing token received. It survives restarts: an engine that forgets it does not check fencing, see
   * docs/design/memory.md.
   */
  private highestToken = 0;

  private role: EngineReport['role'] = 'mixed';

  private readonly residents = new Map<HoldingKey, Resident>();

  private readonly acceptedIds = new Set<string>();

  private settled: string[] = [];

  private pending: Order[] = [];

  constructor(private readonly checksFencing: boolean) {}

  usedBytes(): number {
    let bytes: number = KV_CACHE_BYTES[this.role];
    for (const { sizeBytes } of this.residents.values()) bytes += sizeBytes;
    return bytes;
  }

  isOvercommitted(): boolean {
    return this.usedBytes() > ModelEngine.capacityBytes;
  }

  /** Handles one copy of an order. Copies of an order that was accepted before have no further effect. */
  take(order: Order): 'accepted' | 'fenced' {
    if (this.checksFencing && order.fencingToken < this.highestToken) return 'fenced';
    this.highestToken = Math.max(this.highestToken, order.fencingToken);
    if (this.acceptedIds.has(order.orderId)) return 'accepted';
    this.acceptedIds.add(order.orderId);
    this.begin(order);
    this.pending.push(order);
    return 'accepted';
  }

  /** Completes one of the pending orders, selected by `choice`. */
  finish(choice: number): void {
    const [order] = this.pending.splice(choice % Math.max(1, this.pending.length), 1);
    if (!order) return;
    this.end(order);
    this.settled.push(order.orderId);
  }

  finishAll(): void {
    while (this.pending.length > 0) this.finish(0);
  }

  restart(): void {
    this.processNumber += 1;
    this.role = 'mixed';
    this.residents.clear();
    this.acceptedIds.clear();
    this.settled = [];
    this.pending = [];
  }

  report(): EngineReport {
    this.sequence += 1;
    const all = [...this.residents.values()];
    return {
      engineId: `life-${this.processNumber}`,
      sequence: this.sequence,
      ageMs: 0,
      settledOrderIds: [...this.settled],
      highestFencingToken: this.highestToken as Incarnation,
      usedBytes: this.usedBytes(),
      memoryBytes: ModelEngine.capacityBytes,
      residents: all
        .filter(({ adapter }) => !adapter)
        .map(({ model, version, sizeBytes, phase }) => ({
          model,
          version,
          sizeBytes,
          phase,
          adapters: all
            .filter((other) => other.adapter && other.model === model && other.version === version)
            .map((other) => ({ id: other.adapter as AdapterId, sizeBytes: other.sizeBytes })),
        })),
      running: 0,
      queued: 0,
      leaving: false,
      role: this.role,
    };
  }

  private begin(order: Order): void {
    const key = keyOfOrder(order);
    if (!key) return;
    const { model = '' as ModelId, version = '', adapter, sizeBytes = 0, action } = order;
    const known = this.residents.get(key);
    if (action.startsWith('unload')) {
      if (known) known.phase = 'unloading';
      return;
    }
    const base = this.residents.get(holdingKeyOf(model, version));
    const isRefused = adapter !== undefined && (!base || base.phase === 'unloading');
    if (known || isRefused) return;
    this.residents.set(key, { model, version, adapter, sizeBytes, phase: 'loading' });
  }

  private end(order: Order): void {
    if (order.role) this.role = order.role;
    const key = keyOfOrder(order);
    if (!key) return;
    const known = this.residents.get(key);
    if (!known) return;
    if (order.action.startsWith('load')) {
      if (known.phase === 'loading') known.phase = 'ready';
      return;
    }
    this.residents.delete(key);
    for (const other of this.residents.keys()) {
      if (other.startsWith(`${key}+`)) this.residents.delete(other);
    }
  }
}

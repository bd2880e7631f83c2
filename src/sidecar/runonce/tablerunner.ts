import type { UpstreamId } from '../../base/index.js';
import {
  openTable,
  stepTable,
  type TableEffect,
  type TableEvent,
  type TableState,
} from '../../core/ticket/index.js';
import type { Context } from '../part/index.js';
import type { TableSettings } from '../tablesettings/index.js';

const SWEEP_MS = 1000;

type Ports = Pick<Context, 'settings' | 'clock' | 'metrics' | 'incarnation' | 'onStop'>;

/** Runs the core of the table on calls and on clock ticks. Each effect answers the call that it names. */
export class TableRunner {
  private held: TableState | undefined;

  private calls = 0;

  /** Calls that wait for their effect, by call id. */
  private readonly waiting = new Map<string, (effect: TableEffect) => void>();

  private cancelSweep: () => void = () => {};

  constructor(
    private readonly ports: Ports,
    private readonly limits: TableSettings,
  ) {
    this.scheduleSweep();
    ports.onStop(() => this.cancelSweep());
  }

  /** Returns the table; undefined until the sidecar's incarnation is taken. */
  state(): TableState | undefined {
    if (this.held) return this.held;
    const { settings, incarnation, clock } = this.ports;
    const current = incarnation.current();
    if (current === 0) return undefined;
    const upstream = settings.upstream as UpstreamId;
    this.held = openTable(upstream, current, this.limits, clock.nowMs());
    return this.held;
  }

  /** Returns a new call id. */
  nextCallId(): string {
    this.calls += 1;
    return String(this.calls);
  }

  /** Applies an event and answers the waiting calls that its effects name. */
  step(event: TableEvent): readonly TableEffect[] {
    const before = this.state();
    if (!before) return [];
    const { state, effects } = stepTable(before, event, this.ports.clock.nowMs());
    this.held = state;
    for (const effect of effects) {
      const resolve = this.waiting.get(effect.callId);
      this.waiting.delete(effect.callId);
      resolve?.(effect);
    }
    return effects;
  }

  /** Applies an event whose call may have to wait. Resolves with the effect that answers the call. */
  ask(event: TableEvent & { readonly callId: string }): Promise<TableEffect> {
    return new Promise((resolve) => {
      this.waiting.set(event.callId, resolve);
      this.step(event);
    });
  }

  private scheduleSweep(): void {
    this.cancelSweep = this.ports.clock.after(SWEEP_MS, () => {
      this.step({ type: 'sweep' });
      this.ports.metrics.gauge('ticket.count', this.held?.rows.size ?? 0);
      this.ports.metrics.gauge('ticket.bytes', this.held?.usedBytes ?? 0);
      this.scheduleSweep();
    });
  }
}

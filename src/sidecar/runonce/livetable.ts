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

/** The table's core, driven by calls and by the clock. Each effect answers the call that it names. */
export class LiveTable {
  private held: TableState | undefined;

  private calls = 0;

  /** Calls that wait for the table's word. */
  private readonly waiting = new Map<string, (effect: TableEffect) => void>();

  private forgetSweep: () => void = () => {};

  constructor(
    private readonly ports: Ports,
    private readonly limits: TableSettings,
  ) {
    this.sweepLater();
    ports.onStop(() => this.forgetSweep());
  }

  /** The table; undefined until the sidecar's incarnation has been taken. */
  state(): TableState | undefined {
    if (this.held) return this.held;
    const { settings, incarnation, clock } = this.ports;
    const current = incarnation.current();
    if (current === 0) return undefined;
    const upstream = settings.upstream as UpstreamId;
    this.held = openTable(upstream, current, this.limits, clock.nowMs());
    return this.held;
  }

  /** Names a call. */
  nextCall(): string {
    this.calls += 1;
    return String(this.calls);
  }

  /** Takes an event, and answers the calls that waited for what it brings. */
  step(event: TableEvent): readonly TableEffect[] {
    const before = this.state();
    if (!before) return [];
    const { state, effects } = stepTable(before, event, this.ports.clock.nowMs());
    this.held = state;
    for (const effect of effects) {
      const tell = this.waiting.get(effect.callId);
      this.waiting.delete(effect.callId);
      tell?.(effect);
    }
    return effects;
  }

  /** Takes an event whose call may have to wait, and resolves with its answer. */
  ask(event: TableEvent & { readonly callId: string }): Promise<TableEffect> {
    return new Promise((resolve) => {
      this.waiting.set(event.callId, resolve);
      this.step(event);
    });
  }

  private sweepLater(): void {
    this.forgetSweep = this.ports.clock.after(SWEEP_MS, () => {
      this.step({ type: 'sweep' });
      this.ports.metrics.gauge('ticket.count', this.held?.rows.size ?? 0);
      this.ports.metrics.gauge('ticket.bytes', this.held?.usedBytes ?? 0);
      this.sweepLater();
    });
  }
}

import type { Clock, Ms } from '../../base/index.js';
import type { AdmissionEvent } from '../../core/admission/index.js';
import type { Residency } from '../part/index.js';

const LOOK_EVERY_MS = 50;

/** Tells admission which models are being loaded, as long as requests wait for them. */
export class ModelWatch {
  private readonly loading = new Set<string>();

  private stopLooking: (() => void) | undefined;

  constructor(
    private readonly residency: Residency,
    private readonly clock: Clock,
    private readonly tell: (event: AdmissionEvent) => void,
  ) {}

  /** Looks at the model of a request that is about to be offered. */
  look(model: string): void {
    if (!model || this.loading.has(model) || this.phaseOf(model) !== 'loading') return;
    this.loading.add(model);
    this.tell({ type: 'model', model, phase: 'loading', readyInMs: this.readyInMs(model) });
    this.stopLooking ??= this.clock.after(LOOK_EVERY_MS, () => this.lookAgain());
  }

  stop(): void {
    this.stopLooking?.();
  }

  private lookAgain(): void {
    this.stopLooking = undefined;
    for (const model of [...this.loading]) {
      const phase = this.phaseOf(model);
      if (phase === 'loading') continue;
      this.loading.delete(model);
      this.tell({ type: 'model', model, phase, readyInMs: 0 });
      // From now on the pin decides, and it knows more than an absence that admission remembers.
      if (phase === 'absent') this.tell({ type: 'model', model, phase: 'ready', readyInMs: 0 });
    }
    if (this.loading.size === 0) return;
    this.stopLooking = this.clock.after(LOOK_EVERY_MS, () => this.lookAgain());
  }

  private readyInMs(model: string): Ms {
    return this.residency.expectedReadyMs?.(model) ?? 0;
  }

  private phaseOf(model: string): 'ready' | 'loading' | 'absent' {
    const residents = this.residency.residents().filter((resident) => resident.model === model);
    if (residents.some(({ phase }) => phase === 'ready')) return 'ready';
    return residents.some(({ phase }) => phase === 'loading') ? 'loading' : 'absent';
  }
}

import type { Clock, Ms } from '../../base/index.js';
import type { AdmissionEvent } from '../../core/admission/index.js';
import type { Residency } from '../part/index.js';

const CHECK_INTERVAL_MS = 50;

/** Reports to admission the models that are being loaded, until they are ready or absent. */
export class ModelWatch {
  private readonly loading = new Set<string>();

  private cancelCheck: (() => void) | undefined;

  constructor(
    private readonly residency: Residency,
    private readonly clock: Clock,
    private readonly notify: (event: AdmissionEvent) => void,
  ) {}

  /** Called before a request is offered: starts to watch its model if that is being loaded. */
  checkModel(model: string): void {
    if (!model || this.loading.has(model) || this.phaseOf(model) !== 'loading') return;
    this.loading.add(model);
    this.notify({ type: 'model', model, phase: 'loading', readyInMs: this.readyInMs(model) });
    this.cancelCheck ??= this.clock.after(CHECK_INTERVAL_MS, () => this.recheck());
  }

  stop(): void {
    this.cancelCheck?.();
  }

  private recheck(): void {
    this.cancelCheck = undefined;
    for (const model of [...this.loading]) {
      const phase = this.phaseOf(model);
      if (phase === 'loading') continue;
      this.loading.delete(model);
      this.notify({ type: 'model', model, phase, readyInMs: 0 });
      // Clears the absence in admission. For later requests the pin decides, which sees the current state.
      if (phase === 'absent') this.notify({ type: 'model', model, phase: 'ready', readyInMs: 0 });
    }
    if (this.loading.size === 0) return;
    this.cancelCheck = this.clock.after(CHECK_INTERVAL_MS, () => this.recheck());
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

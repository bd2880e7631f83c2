import type { Result } from 'ts-results';
import { result } from '../base/index.js';
import { refuse } from '../core/refusal/index.js';
import type { PlacementReply, Refusal, RescueReply, Resident } from '../wire/index.js';
import type { Residency } from './part/index.js';

/** For upstreams whose memory is not managed, such as plain services. */
export class UnmanagedResidency implements Residency {
  constructor(private readonly publisher?: { leave(): void }) {}

  pin(): Result<() => void, Refusal> {
    return result.Ok(() => {});
  }

  place(): PlacementReply {
    const refusal = refuse('memory-unmanaged', 'This upstream holds no models.');
    return { accepted: false, epoch: 0, refusal };
  }

  rescue(): RescueReply {
    const refusal = refuse('memory-unmanaged', 'This upstream holds no models.');
    return { accepted: false, estimatedReadyMs: 0, refusal };
  }

  residents(): readonly Resident[] {
    return [];
  }

  freeBytes(): number {
    return 0;
  }

  leave(): void {
    this.publisher?.leave();
  }
}

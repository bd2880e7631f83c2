import { nanoid } from 'nanoid';
import type { Epoch, Revision } from '../../base/index.js';
import {
  createLease,
  stepLease,
  type LeaseEffect,
  type LeaseEvent,
  type LeaseState,
} from '../../core/planlease/index.js';
import { parseJson, shape } from '../../core/shape/index.js';
import type { Context } from '../component/index.js';

const ABSENT = 0 as Revision;

interface LeaseValue {
  readonly nonce?: string;
  readonly hostId?: string;
}

const isLeaseValue = shape.object({ nonce: shape.optional(shape.string) });

function nonceOf(value: string): string | undefined {
  const read = parseJson(value);
  return isLeaseValue(read) ? (read as LeaseValue).nonce : undefined;
}

/** Holds the planner lease of one service: performs the lease core's effects at the store and reports the answers. */
export class PlannerLease {
  private state: LeaseState;

  constructor(
    private readonly context: Pick<Context, 'store' | 'clock' | 'log' | 'settings' | 'metrics'>,
    key: string,
  ) {
    this.state = createLease(key, nanoid());
  }

  /** Returns the epoch to plan under; undefined unless this entry holds the lease. */
  epoch(): Epoch | undefined {
    return this.state.phase === 'holding' ? this.state.epoch : undefined;
  }

  step(event: LeaseEvent): void {
    const { state, effects } = stepLease(this.state, event, this.context.clock.nowMs());
    this.state = state;
    for (const effect of effects) void this.perform(effect);
  }

  private async perform(effect: LeaseEffect): Promise<void> {
    const handler = this.handlers[effect.type] as (effect: LeaseEffect) => Promise<void>;
    await handler(effect);
  }

  private readonly handlers: {
    readonly [Type in LeaseEffect['type']]: (
      effect: Extract<LeaseEffect, { type: Type }>,
    ) => Promise<void>;
  } = {
    read: async ({ key }) => {
      const read = await this.context.store.get(key);
      if (read.err) this.step({ type: 'read' });
      else {
        const item = read.val;
        const answer = item ? { nonce: nonceOf(item.value), revision: item.revision } : {};
        this.step({ type: 'read', answer });
      }
    },
    grant: async ({ ttlMs }) => {
      const granted = await this.context.store.grantLease(ttlMs);
      this.step({ type: 'granted', leaseId: granted.ok ? granted.val : undefined });
    },
    swap: async ({ key, nonce, leaseId }) => {
      const value = JSON.stringify({ nonce, hostId: this.context.settings.hostId });
      const swapped = await this.context.store.swap({
        key,
        expectedRevision: ABSENT,
        value,
        leaseId,
      });
      if (swapped.err) {
        const isUnknown = swapped.val.type === 'store-outcome-unknown';
        this.step({ type: 'swapped', outcome: isUnknown ? 'unknown' : 'failed' });
      } else if (swapped.val.type === 'conflict') {
        this.step({ type: 'swapped', outcome: 'conflict' });
      } else this.step({ type: 'swapped', outcome: 'swapped', revision: swapped.val.revision });
    },
    renew: async ({ leaseId }) => {
      const renewed = await this.context.store.renewLease(leaseId);
      this.step({ type: 'renewed', leftMs: renewed.ok ? renewed.val : undefined });
    },
    revoke: async ({ leaseId }) => {
      await this.context.store.revokeLease(leaseId);
    },
    took: ({ epoch }) => {
      this.context.log.info('planner lease acquired; this entry plans the service', {
        key: this.state.key,
        epoch,
      });
      this.context.metrics.count('planner.took');
      return Promise.resolve();
    },
    lost: ({ epoch, reason }) => {
      this.context.log.info('planner lease lost; this entry stopped planning the service', {
        key: this.state.key,
        epoch,
        reason,
      });
      return Promise.resolve();
    },
  };
}

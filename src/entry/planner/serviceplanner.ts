import type { Epoch, UpstreamId } from '../../base/index.js';
import type { ServiceDocument } from '../../core/document/index.js';
import {
  createPlanner,
  stepPlanner,
  type PlannerEffect,
  type PlannerState,
} from '../../core/planner/index.js';
import { PlacementPlan, UpstreamRecord } from '../../wire/index.js';
import type { Context, Router } from '../component/index.js';
import { cellOf } from './cellof.js';
import { splitCell } from './splitcell.js';
import { PlannerLease } from './plannerlease.js';
import { sendPlan } from './sendplan.js';

type Place = Extract<PlannerEffect, { type: 'place' }>;

const UPSTREAM_PREFIX = 'upstream/';
const LEASE_PREFIX = '/tarragonstile/planners/';

/** Plans the placement of one service in this region, while this entry holds the planner lease. */
export class ServicePlanner {
  private readonly lease: PlannerLease;

  private states: PlannerState[] = [];

  private sequence = 0;

  /** Plans that were not delivered, by upstream; they are sent again in the next round. */
  private readonly missed = new Map<UpstreamId, Place>();

  constructor(
    private readonly context: Context,
    private readonly router: Router,
    document: ServiceDocument,
  ) {
    this.lease = new PlannerLease(context, `${LEASE_PREFIX}${document.service}/${document.region}`);
  }

  /** Advances the planner lease; plans if this entry holds it. */
  round(document: ServiceDocument, isCandidate: boolean): void {
    this.lease.step({ type: 'tick', candidate: isCandidate });
    const epoch = this.lease.epoch();
    if (epoch === undefined) this.states = [];
    else this.plan(document, epoch);
  }

  stop(): void {
    this.lease.step({ type: 'stopped' });
  }

  /** Returns the epoch and the state of the last plans; undefined if this entry does not plan. */
  explain(): { readonly epoch: Epoch; readonly states: readonly PlannerState[] } | undefined {
    const epoch = this.lease.epoch();
    return epoch === undefined ? undefined : { epoch, states: this.states };
  }

  private plan(document: ServiceDocument, epoch: Epoch): void {
    const { board, clock } = this.context;
    const prefix = `${UPSTREAM_PREFIX}${document.service}/`;
    const records = board.list(prefix).map(({ value }) => UpstreamRecord.decode(value));
    const byId = new Map(records.map((record) => [record.upstream, record]));
    const regionCell = cellOf(document, byId, this.router.phases(document.service));
    const cells = splitCell(regionCell, this.states);
    const due = new Map(this.missed);
    this.missed.clear();
    cells.forEach((cell, index) => {
      const before = this.states[index] ?? createPlanner();
      const { state, effects } = stepPlanner(before, { type: 'round', cell }, clock.nowMs());
      this.states[index] = state;
      for (const effect of effects) {
        if (effect.type === 'place') due.set(effect.upstream, effect);
        else this.audit(document, effect);
      }
    });
    this.states.length = cells.length;
    for (const place of due.values()) void this.send(document, epoch, place);
  }

  private audit(
    { service }: ServiceDocument,
    { place }: Extract<PlannerEffect, { type: 'moved' }>,
  ): void {
    const { audit, clock, settings, metrics } = this.context;
    const { model, upstream, reason, gain, cost } = place;
    audit.write({
      wallMs: clock.wallMs(),
      actor: settings.hostId,
      act: 'place-model',
      subject: `${service}/${model}`,
      detail: { upstream, reason, gain: Math.round(gain), cost: Math.round(cost) },
    });
    metrics.count('planner.moved', 1, { reason });
  }

  private async send(document: ServiceDocument, epoch: Epoch, place: Place): Promise<void> {
    const { service, region } = document;
    const upstream = document.groups
      .flatMap((group) => group.upstreams)
      .find(({ id }) => id === place.upstream);
    if (!upstream) return;
    this.sequence += 1;
    const plan = PlacementPlan.fromPartial({
      ...place,
      models: place.models.map((model) => ({ ...model, adapters: [...model.adapters] })),
      keepUntilPlaced: [...place.keepUntilPlaced],
      cell: `${service}/${region}`,
      epoch,
      sequence: this.sequence,
    });
    const reply = await sendPlan(this.context, upstream.sidecarAddress, plan);
    this.router.observe(service, { type: reply ? 'heard' : 'failed', upstream: place.upstream });
    if (!reply) this.missed.set(place.upstream, place);
    else if (!reply.accepted) this.refused(place, reply.epoch as Epoch, reply.refusal?.type ?? '');
  }

  private refused({ upstream }: Place, epoch: Epoch, reason: string): void {
    this.context.log.warn('plan refused by the sidecar', { upstream, epoch, reason });
    this.context.metrics.count('planner.refused', 1, { reason });
    this.lease.step({ type: 'met-epoch', epoch });
  }
}

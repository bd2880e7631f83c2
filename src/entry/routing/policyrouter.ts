import { Metadata } from '@grpc/grpc-js';
import type { Result } from 'ts-results';
import {
  result,
  type ModelId,
  type RequestId,
  type Revision,
  type ServiceId,
  type UpstreamId,
} from '../../base/index.js';
import { hash32 } from '../../core/hash/index.js';
import type { MemberEvent, MemberPhase } from '../../core/member/index.js';
import { refuse } from '../../core/refusal/index.js';
import type { RoutingEffect } from '../../core/routing/index.js';
import { HttpHostList } from '../../shell/hosts/index.js';
import type { BoardRecord } from '../../shell/board/index.js';
import { UpstreamRecord, type Refusal, type RescueReply } from '../../wire/index.js';
import type { Choice, Context, Directory, Outcome, Router, Want } from '../part/index.js';
import { declaredOf } from './declaredof.js';
import { HostWatch } from './hostwatch.js';
import { ServiceRouting } from './servicerouting.js';
import { SuspectProbe } from './suspectprobe.js';

const UPSTREAMS = 'upstream/';
const RESCUE_TIMEOUT_MS = 2_000;

/** Routes by what documents, the board and answers tell: see docs/design/routing.md. */
export class PolicyRouter implements Router {
  private readonly services = new Map<ServiceId, ServiceRouting>();

  private revision = -1 as Revision;

  private readonly hosts: HostWatch | undefined;

  private readonly probe: SuspectProbe;

  private readonly stopListening: () => void;

  constructor(
    private readonly context: Context,
    private readonly directory: Directory,
  ) {
    this.probe = new SuspectProbe(
      context,
      ({ service, upstream }) => this.phases(service).get(upstream) === 'suspect',
      ({ service, upstream }, type) => this.hear(service, { type, upstream }),
    );
    this.stopListening = context.board.onChange(UPSTREAMS, (record) => this.adopt(record));
    this.refresh();
    this.hosts = this.watchHosts();
  }

  choose(want: Want): Promise<Result<Choice, Refusal>> {
    this.refresh();
    const service = this.services.get(want.target.service);
    if (service) return service.choose(want);
    const refusal = refuse('document-absent', 'This entry knows no document of the service.');
    return Promise.resolve(result.Err(refusal));
  }

  learn(outcome: Outcome): void {
    this.services.get(outcome.want.target.service)?.learn(outcome);
  }

  abandon(service: ServiceId, requestId: RequestId): void {
    this.services.get(service)?.abandon(requestId);
  }

  hear(service: ServiceId, event: MemberEvent): void {
    this.services.get(service)?.hear(event);
  }

  phases(service: ServiceId): ReadonlyMap<UpstreamId, MemberPhase> {
    return this.services.get(service)?.phases() ?? new Map();
  }

  close(): void {
    this.stopListening();
    this.hosts?.stop();
    this.probe.stop();
    for (const service of this.services.values()) service.stop();
  }

  private watchHosts(): HostWatch | undefined {
    const { hostList } = this.context.settings;
    if (!hostList) return undefined;
    const watch = new HostWatch(
      this.context,
      new HttpHostList(hostList),
      hostList.pollMs,
      () => this.directory.documents(),
      (service, event) => this.hear(service, event),
    );
    void watch.poll();
    return watch;
  }

  /** Adopts documents that have come into force since the last look. */
  private refresh(): void {
    const revision = this.directory.revision();
    if (revision === this.revision) return;
    this.revision = revision;
    for (const document of this.directory.documents()) {
      const known = this.services.get(document.service);
      const service = known ?? this.open(document.service);
      service.step(declaredOf(document));
      if (!known) this.catchUp(document.service);
    }
  }

  private open(id: ServiceId): ServiceRouting {
    const { clock, settings, log } = this.context;
    const service = new ServiceRouting(
      clock,
      (effect, heldElsewhere) => this.askRescue(effect, heldElsewhere),
      (upstream, from, to) => this.tellMember(id, upstream, from, to),
      settings.availabilityZone,
      hash32(settings.hostId),
    );
    this.services.set(id, service);
    log.info('routing a service', { service: id });
    return service;
  }

  private catchUp(service: ServiceId): void {
    for (const record of this.context.board.list(`${UPSTREAMS}${service}/`)) this.adopt(record);
  }

  private adopt({ key, value }: BoardRecord): void {
    const service = this.services.get(key.split('/')[1] as ServiceId);
    service?.adopt(UpstreamRecord.decode(value));
  }

  private tellMember(service: ServiceId, upstream: UpstreamId, from: string, to: string): void {
    this.context.log.info('upstream changed', { service, upstream, from, to });
    this.context.metrics.count('member.changed', 1, { from, to });
    if (to !== 'suspect') return;
    const sidecarAddress = this.addressOf(service, upstream);
    if (sidecarAddress) this.probe.begin({ service, upstream, sidecarAddress });
  }

  private addressOf(service: ServiceId, upstream: UpstreamId): string | undefined {
    const document = this.directory.documents().find((each) => each.service === service);
    const upstreams = (document?.groups ?? []).flatMap((group) => group.upstreams);
    return upstreams.find(({ id }) => id === upstream)?.sidecarAddress;
  }

  private askRescue(
    effect: Extract<RoutingEffect, { type: 'rescue' }>,
    heldElsewhere: readonly ModelId[],
  ): Promise<RescueReply | undefined> {
    const { upstream, sidecarAddress, target, deadlineMs } = effect;
    const { service, model = '', adapter = '' } = target;
    this.context.log.info('asking for a load', { service, model, adapter, upstream });
    this.context.metrics.count('rescue.asked');
    const leftMs = Math.ceil(deadlineMs);
    const request = { service, model, adapter, deadlineMs: leftMs, heldElsewhere };
    const deadline = this.context.clock.wallMs() + RESCUE_TIMEOUT_MS;
    return new Promise((resolve) => {
      const client = this.context.link.client(sidecarAddress);
      client.rescue(request, new Metadata(), { deadline }, (error, reply) =>
        resolve(error ? undefined : reply),
      );
    });
  }
}

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
import type {
  Choice,
  Context,
  Directory,
  Outcome,
  Router,
  RouteRequest,
} from '../component/index.js';
import { declaredEvent } from './declaredevent.js';
import { HostListPoller } from './hostlistpoller.js';
import { ServiceRouting } from './servicerouting.js';
import { SuspectProbe } from './suspectprobe.js';

/** Key prefix of the upstream records on the board. */
const PREFIX = 'upstream/';

const LOAD_REQUEST_TIMEOUT_MS = 2_000;

/** Routes requests by service documents, board records and the answers of upstreams: see docs/design/routing.md. */
export class PolicyRouter implements Router {
  private readonly services = new Map<ServiceId, ServiceRouting>();

  private revision = -1 as Revision;

  private readonly hostList: HostListPoller | undefined;

  private readonly probe: SuspectProbe;

  private readonly unsubscribe: () => void;

  constructor(
    private readonly context: Context,
    private readonly directory: Directory,
  ) {
    this.probe = new SuspectProbe(
      context,
      ({ service, upstream }) => this.phases(service).get(upstream) === 'suspect',
      ({ service, upstream }, type) => this.observe(service, { type, upstream }),
    );
    this.unsubscribe = context.board.onChange(PREFIX, (record) => this.adopt(record));
    this.refresh();
    this.hostList = this.pollHostList();
  }

  choose(request: RouteRequest): Promise<Result<Choice, Refusal>> {
    this.refresh();
    const service = this.services.get(request.target.service);
    if (service) return service.choose(request);
    const refusal = refuse('document-absent', 'This entry knows no document of the service.');
    return Promise.resolve(result.Err(refusal));
  }

  recordOutcome(outcome: Outcome): void {
    this.services.get(outcome.request.target.service)?.recordOutcome(outcome);
  }

  release(service: ServiceId, requestId: RequestId): void {
    this.services.get(service)?.release(requestId);
  }

  observe(service: ServiceId, event: MemberEvent): void {
    this.services.get(service)?.observe(event);
  }

  phases(service: ServiceId): ReadonlyMap<UpstreamId, MemberPhase> {
    return this.services.get(service)?.phases() ?? new Map();
  }

  close(): void {
    this.unsubscribe();
    this.hostList?.stop();
    this.probe.stop();
    for (const service of this.services.values()) service.stop();
  }

  private pollHostList(): HostListPoller | undefined {
    const { hostList } = this.context.settings;
    if (!hostList) return undefined;
    const watch = new HostListPoller(
      this.context,
      new HttpHostList(hostList),
      hostList.pollMs,
      () => this.directory.documents(),
      (service, event) => this.observe(service, event),
    );
    void watch.poll();
    return watch;
  }

  /** Adopts documents that have come into force since the last call. */
  private refresh(): void {
    const revision = this.directory.revision();
    if (revision === this.revision) return;
    this.revision = revision;
    for (const document of this.directory.documents()) {
      const known = this.services.get(document.service);
      const service = known ?? this.open(document.service);
      service.step(declaredEvent(document));
      if (!known) this.catchUp(document.service);
    }
  }

  private open(id: ServiceId): ServiceRouting {
    const { clock, settings, log } = this.context;
    const service = new ServiceRouting(
      clock,
      (effect, heldElsewhere) => this.requestLoad(effect, heldElsewhere),
      (upstream, from, to) => this.reportPhase(id, upstream, from, to),
      settings.availabilityZone,
      hash32(settings.hostId),
    );
    this.services.set(id, service);
    log.info('first document of the service received; routing it from now on', { service: id });
    return service;
  }

  private catchUp(service: ServiceId): void {
    for (const record of this.context.board.list(`${PREFIX}${service}/`)) this.adopt(record);
  }

  private adopt({ key, value }: BoardRecord): void {
    const service = this.services.get(key.split('/')[1] as ServiceId);
    service?.adopt(UpstreamRecord.decode(value));
  }

  private reportPhase(service: ServiceId, upstream: UpstreamId, from: string, to: string): void {
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

  private requestLoad(
    effect: Extract<RoutingEffect, { type: 'rescue' }>,
    heldElsewhere: readonly ModelId[],
  ): Promise<RescueReply | undefined> {
    const { upstream, sidecarAddress, target, deadlineMs } = effect;
    const { service, model = '', adapter = '' } = target;
    this.context.log.info('asking a sidecar to load a model for requests', {
      service,
      model,
      adapter,
      upstream,
    });
    this.context.metrics.count('rescue.asked');
    const remainingMs = Math.ceil(deadlineMs);
    const request = { service, model, adapter, deadlineMs: remainingMs, heldElsewhere };
    const deadline = this.context.clock.wallMs() + LOAD_REQUEST_TIMEOUT_MS;
    return new Promise((resolve) => {
      const client = this.context.link.client(sidecarAddress);
      client.rescue(request, new Metadata(), { deadline }, (error, reply) =>
        resolve(error ? undefined : reply),
      );
    });
  }
}

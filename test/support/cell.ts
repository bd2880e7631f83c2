import type {
  AdapterId,
  Incarnation,
  KindName,
  ModelId,
  RequestId,
  UpstreamId,
} from '../../src/base/index.js';
import type { Target } from '../../src/core/document/index.js';
import type { RouteWant, RoutingEvent } from '../../src/core/routing/index.js';
import type { UpstreamRecord } from '../../src/wire/index.js';

const GB = 1_000_000_000;

type Declared = Extract<RoutingEvent, { type: 'declared' }>;

/** Builds events of a small service for routing tests. */
export const cell = {
  target(model: string, adapter?: string): Target {
    const kind = {
      name: 'draft' as KindName,
      priority: 'normal' as const,
      deadlineMs: 5_000,
      weight: 1,
      repeatable: true,
    };
    return {
      service: 'redactor' as Target['service'],
      kind,
      model: model as ModelId,
      adapter: adapter as AdapterId | undefined,
    };
  },

  /** Declares upstreams `NAME@ZONE` with 4 slots each, and models of 10 GB. */
  declared(upstreams: readonly string[], models: readonly string[]): Declared {
    return {
      type: 'declared',
      upstreams: upstreams.map((text, index) => {
        const [id = '', availabilityZone = ''] = text.split('@');
        return {
          id: id as UpstreamId,
          availabilityZone,
          sidecarAddress: `10.0.0.${index + 1}:7000`,
          type: 'engine',
          slots: 4,
          kinds: [],
        };
      }),
      models: models.map((id) => ({ id: id as ModelId, sizeBytes: 10 * GB })),
    };
  },

  /** Creates an upstream record; residents are `MODEL` or `MODEL:PHASE`. */
  record(
    upstream: string,
    residents: readonly string[],
    more: Partial<UpstreamRecord> = {},
  ): { readonly type: 'recorded'; readonly record: UpstreamRecord } {
    const record = {
      upstream,
      service: 'redactor',
      incarnation: 1,
      sequence: 1,
      phase: 'ready',
      address: '',
      availabilityZone: '',
      freeBytes: 20 * GB,
      load: undefined,
      revision: 1,
      role: 'mixed',
      demand: [],
      residents: residents.map((text) => {
        const [model = '', phase = 'ready'] = text.split(':');
        return { model, phase, version: '1', adapters: [], sizeBytes: 10 * GB };
      }),
      ...more,
    };
    return { type: 'recorded', record };
  },

  member(
    upstream: string,
    phase: Extract<RoutingEvent, { type: 'member' }>['phase'],
    incarnation = 1,
  ): RoutingEvent {
    const id = upstream as UpstreamId;
    return { type: 'member', upstream: id, phase, incarnation: incarnation as Incarnation };
  },

  want(requestId: string, model: string, more: Partial<RouteWant> = {}): RoutingEvent {
    return {
      type: 'want',
      want: {
        requestId: requestId as RequestId,
        target: cell.target(model),
        prefixHash: '',
        remainingMs: 5_000,
        tried: [],
        ...more,
      },
    };
  },

  outcome(
    requestId: string,
    upstream: string,
    end: Extract<RoutingEvent, { type: 'outcome' }>['end'],
    more: Partial<Extract<RoutingEvent, { type: 'outcome' }>> = {},
  ): RoutingEvent {
    return {
      type: 'outcome',
      requestId: requestId as RequestId,
      upstream: upstream as UpstreamId,
      target: cell.target('notice'),
      prefixHash: '',
      end,
      ...more,
    };
  },
};

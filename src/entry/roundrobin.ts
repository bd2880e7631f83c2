import type { Result } from 'ts-results';
import { result, type Incarnation, type UpstreamId } from '../base/index.js';
import type { MemberPhase } from '../core/member/index.js';
import { refuse } from '../core/refusal/index.js';
import type { Refusal } from '../wire/index.js';
import type { Choice, Directory, Router, RouteRequest } from './component/index.js';

const ANY_INCARNATION = 0 as Incarnation;

/** Chooses the upstreams of a service in rotation, without regard to load or health. */
export class RoundRobin implements Router {
  private nextIndex = 0;

  constructor(private readonly directory: Directory) {}

  choose(request: RouteRequest): Promise<Result<Choice, Refusal>> {
    const document = this.directory
      .documents()
      .find(({ service }) => service === request.target.service);
    const upstreams = (document?.groups ?? [])
      .flatMap((group) => group.upstreams)
      .filter(({ id }) => !request.tried.includes(id));
    const upstream = upstreams[this.nextIndex % Math.max(1, upstreams.length)];
    this.nextIndex += 1;
    if (!upstream) {
      return Promise.resolve(result.Err(refuse('no-upstream', 'No upstream is left to try.')));
    }
    return Promise.resolve(
      result.Ok({
        upstream: upstream.id,
        sidecarAddress: upstream.sidecarAddress,
        incarnation: ANY_INCARNATION,
      }),
    );
  }

  recordOutcome(): void {}

  release(): void {}

  observe(): void {}

  phases(): ReadonlyMap<UpstreamId, MemberPhase> {
    return new Map();
  }

  close(): void {}
}

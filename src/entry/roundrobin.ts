import type { Result } from 'ts-results';
import { result, type Incarnation, type UpstreamId } from '../base/index.js';
import type { MemberPhase } from '../core/member/index.js';
import { refuse } from '../core/refusal/index.js';
import type { Refusal } from '../wire/index.js';
import type { Choice, Directory, Router, Want } from './part/index.js';

const ANY_INCARNATION = 0 as Incarnation;

/** Goes through the upstreams of the service in turn: the simplest baseline. */
export class RoundRobin implements Router {
  private turn = 0;

  constructor(private readonly directory: Directory) {}

  choose(want: Want): Promise<Result<Choice, Refusal>> {
    const document = this.directory
      .documents()
      .find(({ service }) => service === want.target.service);
    const upstreams = (document?.groups ?? [])
      .flatMap((group) => group.upstreams)
      .filter(({ id }) => !want.tried.includes(id));
    const upstream = upstreams[this.turn % Math.max(1, upstreams.length)];
    this.turn += 1;
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

  learn(): void {}

  abandon(): void {}

  hear(): void {}

  phases(): ReadonlyMap<UpstreamId, MemberPhase> {
    return new Map();
  }

  close(): void {}
}

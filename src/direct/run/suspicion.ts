import type { Ms, TraitId } from '../../base/index.js';
import { partTrait, type Assessment } from '../../core/poison/index.js';
import type { Caller } from '../caller.js';
import { traitFields, type PoisonGuard, type UpstreamRun } from '../poison/index.js';
import type { Fleet, Target, UpstreamState } from '../route/index.js';
import { contentIdOf } from './contentidof.js';

/** A run at an upstream, as an attempt sees it. */
interface SeenRun extends Pick<UpstreamRun, 'softwareVersion' | 'sentAtMs' | 'answerBeganAtMs'> {
  readonly state: UpstreamState;
  readonly target: Target;
}

/** Whether a request may be sent to an upstream. */
type Permission =
  | 'free'
  /** An upstream crashed while it ran a request with one of its traits: a trial has to be permitted. */
  | 'ask-first'
  /** The request crashes the upstreams that run it. */
  | 'barred';

const PERMISSIONS: Readonly<Record<Assessment['verdict'], Permission>> = {
  sound: 'free',
  suspect: 'ask-first',
  poison: 'barred',
};
const NO_TRAITS: readonly TraitId[] = [];

/** Whether one request is suspected, because upstreams crashed under its content or parts of its prompt. */
export class Suspicion {
  /** Computed when first needed: usually nothing is suspected. */
  private contentId: TraitId | undefined;

  private readonly parts: readonly TraitId[];

  /** Traits with which the request runs as a trial, which excludes other runs with them. */
  private trial = NO_TRAITS;

  /** True once the request has run as a trial. */
  private wasTrial = false;

  /** True once an upstream crashed under its trial. */
  private hasFailedTrial = false;

  constructor(
    private readonly poison: PoisonGuard,
    private readonly request: Caller['request'],
  ) {
    this.parts = request.sharedParts.map(partTrait.of);
  }

  get content(): TraitId {
    this.contentId ??= contentIdOf(this.request);
    return this.contentId;
  }

  get isTrial(): boolean {
    return this.trial.length > 0;
  }

  permission(): Permission {
    const assessment = this.assess();
    // One crash of a trial is enough evidence; its caller may ask again.
    if (this.hasFailedTrial && assessment.verdict !== 'sound') return 'barred';
    const isGranted =
      assessment.verdict === 'suspect' &&
      assessment.traits.every((trait) => this.trial.includes(trait));
    return isGranted ? 'free' : PERMISSIONS[assessment.verdict];
  }

  /** Returns how long it is still barred. */
  remainingMs(): Ms {
    const assessment = this.assess();
    return assessment.verdict === 'poison' ? this.poison.verdictRemainingMs(assessment.trait) : 0;
  }

  /** Asks for permission to run it as a trial. */
  async begin(): Promise<boolean> {
    this.end();
    const assessment = this.assess();
    if (assessment.verdict !== 'suspect') return assessment.verdict === 'sound';
    const { traits } = assessment;
    const isGranted = await this.poison.beginTrial(traits);
    if (isGranted) this.trial = traits;
    this.wasTrial ||= isGranted;
    return isGranted;
  }

  /** Ends the trial, if there is one. */
  end(): void {
    if (this.isTrial) this.poison.endTrial(this.trial);
    this.trial = NO_TRAITS;
  }

  /** Returns fields for the request's log line: none for most requests. */
  logFields(): Readonly<Record<string, unknown>> {
    const assessment = this.assess();
    if (!this.wasTrial && assessment.verdict !== 'poison') return {};
    const barredBy = assessment.verdict === 'poison' ? traitFields(assessment.trait) : undefined;
    return { isTrial: this.wasTrial, content: this.content, barredBy };
  }

  /** Records that the answer of an upstream's own, without a failure, goes on well after it began. */
  recordSurvival(run: SeenRun): void {
    if (this.poison.isIdle && this.parts.length === 0) return;
    this.poison.recordSurvival(this.evidence(run));
    this.end();
  }

  /** Records that an upstream gave a complete answer without a failure of its own soon after the answer began. */
  recordEnd(
    run: SeenRun & { readonly answerBeganAtMs: Ms },
    { endedAtMs, hasLength }: { readonly endedAtMs: Ms; readonly hasLength: boolean },
  ): void {
    if (this.poison.isIdle && this.parts.length === 0) return;
    const { answerBeganAtMs } = run;
    this.poison.recordEnd({ ...this.evidence(run), answerBeganAtMs, endedAtMs, hasLength });
  }

  /** Records a lost connection as a crash. If the upstream was leaving or has left the list, its end was planned. */
  recordBreak(run: SeenRun, fleet: Fleet): void {
    const { state } = run;
    const { id: upstream, isLeaving } = state.info;
    if (isLeaving || fleet.get(upstream) !== state) return;
    this.poison.recordCrash(this.evidence(run));
    this.hasFailedTrial ||= this.isTrial;
  }

  private assess(): Assessment {
    const { poison } = this;
    return poison.isIdle ? { verdict: 'sound' } : poison.assess([this.content, ...this.parts]);
  }

  private evidence({ state, target, ...run }: SeenRun): UpstreamRun {
    const [path = ''] = this.request.path.split('?');
    const { parts, trial } = this;
    const { service, model } = target;
    const content = () => this.content;
    return { content, parts, service, model, path, upstream: state.info.id, trial, ...run };
  }
}

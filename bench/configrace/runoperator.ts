import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { ChangeId, Clock, Revision, ServiceId } from '../../src/base/index.js';
import {
  createAcceptance,
  decodeStored,
  serviceKey,
  type Change,
} from '../../src/core/acceptance/index.js';
import { acceptChange, sha256 } from '../../src/shell/acceptance/index.js';
import type { KeyValueStore } from '../../src/port/index.js';
import type { Attempt } from './attempt.js';
import type { RaceOptions } from './raceoptions.js';

const SERVICE = 'padron' as ServiceId;
const REGION = 'cantabrico';
const KEY = serviceKey.of({ region: REGION, service: SERVICE });
const MAX_THINK_MS = 40;

interface OperatorContext {
  readonly name: string;
  readonly store: KeyValueStore;
  readonly clock: Clock;
  /** Receives the outcome of each change. */
  readonly attempts: Attempt[];
  /** Text of the initial document. */
  readonly firstText: string;
}

/** Returns the document with `movePenalty` set to the number of the change, so that no two changes are equal. */
function edit(text: string, change: number): string {
  const document = JSON.parse(text) as { placement: object };
  const placement = { ...document.placement, movePenalty: change };
  return JSON.stringify({ ...document, placement }, null, 2);
}

/** Simulates one operator, who repeatedly reads the document, waits a random time and submits a change of it. */
export async function runOperator(
  context: OperatorContext,
  options: RaceOptions,
  index: number,
): Promise<void> {
  const { name, store, clock, attempts, firstText } = context;
  const generator = xoroshiro128plus(options.seed * options.operators + index);
  const pause = (maxMs: number) =>
    new Promise<void>((resolve) => {
      clock.after(uniformInt(generator, 1, maxMs), resolve);
    });
  for (let change = index; change < options.changes; change += options.operators) {
    let found = await store.get(KEY);
    while (found.err) {
      await pause(MAX_THINK_MS);
      found = await store.get(KEY);
    }
    const item = found.val;
    const stored = item ? decodeStored(item.value).unwrap() : undefined;
    await pause(MAX_THINK_MS);
    const wanted: Change = {
      service: SERVICE,
      region: REGION,
      changeId: `${name}-${change}` as ChangeId,
      expectedRevision: item?.revision ?? (0 as Revision),
      source: { type: 'text', text: edit(stored?.document ?? firstText, change), file: name },
      who: name,
      cause: `change ${change}`,
      atMs: clock.wallMs(),
    };
    const acceptance = createAcceptance(wanted, sha256, options.auditLimit);
    const outcome = await acceptChange(acceptance, {
      store,
      clock,
      log: () => {},
      step: options.step,
    });
    const { changeId, expectedRevision } = wanted;
    if (outcome.ok) {
      attempts.push({
        changeId,
        expectedRevision,
        outcome: 'accepted',
        revision: outcome.val.revision,
      });
    } else {
      attempts.push({ changeId, expectedRevision, outcome: outcome.val.type });
    }
  }
}

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
const LONGEST_THOUGHT_MS = 40;

/** Where an operator works, and where it notes what it was told. */
interface Desk {
  readonly name: string;
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly attempts: Attempt[];
  /** Text of the document that the race starts from. */
  readonly firstText: string;
}

/** The document with one number changed, so that each change can be told apart. */
function edit(text: string, change: number): string {
  const document = JSON.parse(text) as { placement: object };
  const placement = { ...document.placement, movePenalty: change };
  return JSON.stringify({ ...document, placement }, null, 2);
}

/** One operator: looks, thinks, changes, and takes its next change from what it then sees. */
export async function operate(desk: Desk, options: RaceOptions, index: number): Promise<void> {
  const { name, store, clock, attempts, firstText } = desk;
  const generator = xoroshiro128plus(options.seed * options.operators + index);
  const pause = (longestMs: number) =>
    new Promise<void>((resolve) => {
      clock.after(uniformInt(generator, 1, longestMs), resolve);
    });
  for (let change = index; change < options.changes; change += options.operators) {
    let seen = await store.get(KEY);
    while (seen.err) {
      await pause(LONGEST_THOUGHT_MS);
      seen = await store.get(KEY);
    }
    const item = seen.val;
    const stored = item ? decodeStored(item.value).unwrap() : undefined;
    await pause(LONGEST_THOUGHT_MS);
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
    const start = createAcceptance(wanted, sha256, options.auditLimit);
    const outcome = await acceptChange(start, { store, clock, log: () => {}, step: options.step });
    const { changeId, expectedRevision } = wanted;
    if (outcome.ok) {
      attempts.push({
        changeId,
        expectedRevision,
        told: 'accepted',
        revision: outcome.val.revision,
      });
    } else {
      attempts.push({ changeId, expectedRevision, told: outcome.val.type });
    }
  }
}

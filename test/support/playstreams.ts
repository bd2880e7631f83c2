import { codec } from '../../platform/codec.js';
import { streamSeeds } from './streamseeds.js';
import { StreamWorld } from './streamworld.js';

type Options = ConstructorParameters<typeof StreamWorld>[0];
type Rates = Options['rates'];

const DAY_MS = 60_000;
const RELEASE_EVERY_MS = 12_000;
/** Streams that are taken up below which their share shows nothing. */
const MIN_TAKEN_UP = 12;
const CHANGES: Rates = { drain: 20, leave: 10, crash: 6 };

/** Plays seeds of a scenario and returns what breaks a rule. */
export async function playStreams(
  rates: Rates,
  options: Partial<Options> = {},
  { seeds = streamSeeds, dayMs = DAY_MS, aim = 0 } = {},
): Promise<string[]> {
  const findings: string[] = [];
  const begun = { count: 0, served: 0 };
  const takenUp = { count: 0, served: 0 };
  const waits = { begun: { count: 0, served: 0 }, takenUp: { count: 0, served: 0 } };
  for (let seed = 1; seed <= seeds; seed += 1) {
    const world = new StreamWorld({
      seed,
      codec,
      releaseEveryMs: RELEASE_EVERY_MS,
      rates: { ...CHANGES, ...rates },
      ...options,
    });
    await world.run(dayMs);
    for (const finding of world.findings) findings.push(`${seed}: ${finding}`);
    for (const [sum, part] of [
      [begun, world.begun],
      [takenUp, world.takenUp],
      [waits.begun, world.waits.begun],
      [waits.takenUp, world.waits.takenUp],
    ] as const) {
      sum.count += part.count;
      sum.served += part.served;
    }
  }
  const share = takenUp.served / takenUp.count;
  const isLost = share < begun.served / begun.count / 2;
  const { count, served } = waits.takenUp;
  const isShort = served / count < (waits.begun.served / waits.begun.count) * aim;
  if (takenUp.count < MIN_TAKEN_UP) findings.push(`${takenUp.count} streams taken up`);
  else if (isLost) findings.push(`${takenUp.served} of ${takenUp.count} taken up went on`);
  if (isShort) findings.push(`${served} of ${count} streams that broke went on`);
  return findings;
}

import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';
import { askPlain } from './askplain.js';
import type { Outcome } from './outcome.js';

const RETRY_MS = 300;
const TRIES = 6;

/** A confirmation that may not be repeated, and how its caller guards it. */
interface Confirmation {
  readonly entries: readonly string[];
  readonly path: string;
  readonly service: string;
  readonly field: string;
  /** What is confirmed: a business key of its own. */
  readonly id: string;
  readonly key: string;
  readonly guard: 'none' | 'idempotency-key' | 'ticket';
  readonly timeoutMs: number;
  /** Hears of each attempt's outcome at once. */
  readonly onOutcome: (outcome: Outcome) => void;
}

type Headers = Readonly<Record<string, string>>;

async function takeTicket({ entries, key, service }: Confirmation): Promise<Headers | undefined> {
  for (let turn = 0; turn < TRIES; turn += 1) {
    const answer = await request(`${entries[turn % entries.length]}/v1/tickets`, {
      method: 'POST',
      headers: { authorization: `Bearer ${key}` },
      body: JSON.stringify({ service }),
    });
    const { ticket } = (await answer.body.json()) as { ticket?: string };
    if (ticket) return { 'tarragonstile-ticket': ticket };
    await wait(RETRY_MS);
  }
  return undefined;
}

const GUARDS: Readonly<
  Record<Confirmation['guard'], (it: Confirmation) => Promise<Headers | undefined>>
> = {
  none: () => Promise.resolve({}),
  'idempotency-key': ({ id }) => Promise.resolve({ 'idempotency-key': id }),
  ticket: takeTicket,
};

function askOnce(it: Confirmation, turn: number, headers: Headers): Promise<Outcome> {
  return askPlain({
    url: `${it.entries[turn % it.entries.length]}/services/${it.service}${it.path}`,
    key: it.key,
    method: 'POST',
    body: JSON.stringify({ [it.field]: it.id }),
    headers: { ...headers, 'content-type': 'application/json' },
    expected: `"${it.id}"`,
    timeoutMs: it.timeoutMs,
  });
}

/**
 * Confirms once. A guarded one is asked again, through the other entry, until it has an answer; an
 * unguarded one only as long as nothing was run.
 */
export async function askConfirm(it: Confirmation): Promise<readonly Outcome[]> {
  const headers = await GUARDS[it.guard](it);
  if (!headers) return [{ type: 'refused', tookMs: 0, reason: 'no-ticket' }];
  const told: Outcome[] = [];
  for (let turn = 0; turn < TRIES; turn += 1) {
    const outcome = await askOnce(it, turn, headers);
    told.push(outcome);
    it.onOutcome(outcome);
    if (outcome.type === 'answered') return told;
    if (it.guard === 'none' && outcome.type !== 'refused') return told;
    await wait(RETRY_MS);
  }
  return told;
}

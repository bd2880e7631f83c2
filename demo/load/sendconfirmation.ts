import { setTimeout as wait } from 'node:timers/promises';
import { request } from 'undici';
import { callPlainService } from './callplainservice.js';
import type { Outcome } from './outcome.js';

const RETRY_MS = 300;
const TRIES = 6;

/** A confirmation, which must not run twice, and how its caller protects it against that. */
interface Confirmation {
  readonly entries: readonly string[];
  readonly path: string;
  readonly service: string;
  readonly field: string;
  /** Unique business key of what is confirmed. */
  readonly id: string;
  readonly key: string;
  readonly guard: 'none' | 'idempotency-key' | 'ticket';
  readonly timeoutMs: number;
  /** Called with the outcome of each attempt. */
  readonly onOutcome: (outcome: Outcome) => void;
}

type Headers = Readonly<Record<string, string>>;

async function obtainTicket({ entries, key, service }: Confirmation): Promise<Headers | undefined> {
  for (let attempt = 0; attempt < TRIES; attempt += 1) {
    const answer = await request(`${entries[attempt % entries.length]}/v1/tickets`, {
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
  Record<Confirmation['guard'], (confirmation: Confirmation) => Promise<Headers | undefined>>
> = {
  none: () => Promise.resolve({}),
  'idempotency-key': ({ id }) => Promise.resolve({ 'idempotency-key': id }),
  ticket: obtainTicket,
};

function sendOnce(confirmation: Confirmation, attempt: number, headers: Headers): Promise<Outcome> {
  return callPlainService({
    url: `${confirmation.entries[attempt % confirmation.entries.length]}/services/${confirmation.service}${confirmation.path}`,
    key: confirmation.key,
    method: 'POST',
    body: JSON.stringify({ [confirmation.field]: confirmation.id }),
    headers: { ...headers, 'content-type': 'application/json' },
    expected: `"${confirmation.id}"`,
    timeoutMs: confirmation.timeoutMs,
  });
}

/**
 * Sends a confirmation until it is answered or six tries have failed. With a ticket or an idempotency key it is sent
 * again, through the other entry, after any outcome; without, only after a refusal, which promises that it has not run.
 */
export async function sendConfirmation(confirmation: Confirmation): Promise<readonly Outcome[]> {
  const headers = await GUARDS[confirmation.guard](confirmation);
  if (!headers) return [{ type: 'refused', tookMs: 0, reason: 'no-ticket' }];
  const outcomes: Outcome[] = [];
  for (let attempt = 0; attempt < TRIES; attempt += 1) {
    const outcome = await sendOnce(confirmation, attempt, headers);
    outcomes.push(outcome);
    confirmation.onOutcome(outcome);
    if (outcome.type === 'answered') return outcomes;
    if (confirmation.guard === 'none' && outcome.type !== 'refused') return outcomes;
    await wait(RETRY_MS);
  }
  return outcomes;
}

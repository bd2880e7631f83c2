import { setTimeout as wait } from 'node:timers/promises';
import type { Stack } from '../stack.js';
import { sendConfirmation } from './sendconfirmation.js';
import { callPlainService } from './callplainservice.js';
import { requestStream } from './requeststream.js';
import type { Outcome } from './outcome.js';
import type { RequestRecord } from './requestrecord.js';
import { schedule } from './schedule.js';

const TOKENS = 20;
/** Longer than any deadline plus its late answer; a request without an answer by then counts as lost. */
const TIMEOUT_MS = 15_000;
const ARCHIVE_DRAWS = 150;
const LARGEST_DRAWS = 700;
const GUARDS = ['none', 'idempotency-key', 'ticket'] as const;

type Planned = ReturnType<typeof schedule>[number];
type Send = (stack: Stack, planned: Planned) => Promise<Omit<RequestRecord, 'id' | 'tookMs'>>;

function pick<Item>(items: readonly Item[], draw: number): Item {
  return items[draw % items.length]!;
}

function keyOf({ keys }: Stack, draw: number): string {
  return draw < LARGEST_DRAWS ? keys.largest : keys.other;
}

function hasRunAtEngines({ standIns }: Stack, { type, requestId }: Outcome): boolean {
  if (type !== 'refused' || !requestId) return false;
  return standIns.engines.some((engine) => engine.runs(requestId) > 0);
}

const SEND: Readonly<Record<Planned['type'], Send>> = {
  stream: async (stack, { id, draws }) => {
    const kind = draws[0] < ARCHIVE_DRAWS ? 'archive' : 'draft';
    const outcome = await requestStream({
      entry: pick(stack.entries, draws[1]),
      key: keyOf(stack, draws[2]),
      model: pick(stack.deployment.models, draws[0]),
      kind,
      prompt: `A notice for ${id}: `.repeat(4),
      tokens: TOKENS,
      timeoutMs: TIMEOUT_MS,
    });
    return { kind, outcomes: [outcome], falseNotRun: hasRunAtEngines(stack, outcome) };
  },
  lookup: async (stack, { id, draws }) => {
    const { plainService, lookupPath } = stack.deployment;
    const path = `${lookupPath}/${id}`;
    const outcome = await callPlainService({
      url: `${pick(stack.entries, draws[1])}/services/${plainService}${path}`,
      key: keyOf(stack, draws[2]),
      method: 'GET',
      expected: `"${path}"`,
      timeoutMs: TIMEOUT_MS,
    });
    return { kind: 'lookup', outcomes: [outcome], falseNotRun: false };
  },
  confirm: async (stack, { id, draws }) => {
    const { plainService, confirmPath, confirmField } = stack.deployment;
    let falseNotRun = false;
    const outcomes = await sendConfirmation({
      entries: draws[1] % 2 ? stack.entries : stack.entries.toReversed(),
      path: confirmPath,
      service: plainService,
      field: confirmField,
      id,
      key: keyOf(stack, draws[2]),
      guard: pick(GUARDS, draws[0]),
      timeoutMs: TIMEOUT_MS,
      onOutcome: ({ type }) => {
        if (type === 'refused' && stack.standIns.runs(id) > 0) falseNotRun = true;
      },
    });
    return { kind: 'confirm', outcomes, falseNotRun };
  },
};

async function send(stack: Stack, planned: Planned, startMs: number): Promise<RequestRecord> {
  await wait(Math.max(0, startMs + planned.atMs - performance.now()));
  const sentMs = performance.now();
  const { kind, outcomes, falseNotRun } = await SEND[planned.type](stack, planned);
  const took = planned.type === 'stream' ? outcomes[0]?.tookMs : undefined;
  return {
    id: planned.id,
    kind,
    outcomes,
    falseNotRun,
    tookMs: took ?? performance.now() - sentMs,
  };
}

/** Sends a load and waits until every request has ended. */
export function runLoad(
  stack: Stack,
  planned: readonly Planned[],
): Promise<readonly RequestRecord[]> {
  const startMs = performance.now();
  return Promise.all(planned.map((item) => send(stack, item, startMs)));
}

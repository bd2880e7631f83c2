import { endTable } from './endtable.js';
import type { LogLine } from './logline.js';

/** Lines this long before a request's end may have caused it: a load with what makes room takes up to 7 s. */
const BEFORE_MS = 10_000;
const AFTER_MS = 4000;
const MOST_LINES = 20;

/** Messages that change what an entry can do for any request. */
const GENERAL = new Set([
  'store lost',
  'store regained',
  'order turn taken',
  'order turn lost',
  'order turn released',
  'entry not reached',
  'changes not shared',
  'configuration not readable',
  'lines left out',
]);

function text(value: unknown): string {
  return typeof value === 'string' || typeof value === 'number' ? String(value) : '';
}

function attemptsOf({ fields }: LogLine): string[] {
  return Array.isArray(fields.attempts) ? fields.attempts.map(String) : [];
}

/** One that was refused before it was a matter of upstreams: for its route, its key or its customer's limit. */
function describeRefusal({ fields, atMs, from }: LogLine): string[] {
  const reason = text(fields.reason);
  const told = [
    `${new Date(atMs).toISOString()} ${from}: refused as "${reason}" (${text(fields.status)}): ` +
      `${endTable[reason] ?? 'see docs/ERRORS.md'}.`,
  ];
  if (fields.cost !== undefined) {
    told.push(
      `  Customer ${text(fields.customer)}: it takes ${text(fields.cost)}, ${text(fields.left)} lay here, ` +
        `the holder was heard ${text(fields.knownAgeMs)} ms before; limit ${text(fields.ratePerS)}/s, ` +
        `burst ${text(fields.burst)}, configuration ${text(fields.version)}.`,
    );
  }
  if (text(fields.retryAfterMs) !== '') {
    told.push(`  The caller was told to come back in ${text(fields.retryAfterMs)} ms.`);
  }
  return told;
}

function describe(line: LogLine): string[] {
  if (line.message === 'request refused') return describeRefusal(line);
  const { fields, from } = line;
  const end = text(fields.end);
  const need = [fields.service, fields.model, fields.adapter].map(text).filter((one) => one !== '');
  const told = [
    `${new Date(line.atMs).toISOString()} ${from}: ended as "${end}" after ${text(fields.totalMs)} ms: ` +
      `${endTable[end] ?? 'see docs/ERRORS.md'}.`,
    `  It needed ${need.join(' / ') || 'no service'} by route ${text(fields.route) || '-'} of configuration ` +
      `${text(fields.version) || '-'}.`,
  ];
  const attempts = attemptsOf(line);
  if (text(fields.customer) !== '') {
    told.push(`  Customer ${text(fields.customer)} was charged ${text(fields.cost)} for each run.`);
  }
  if (attempts.length === 0) told.push('  It was offered to no upstream.');
  for (const attempt of attempts) told.push(`  Attempt: ${attempt}.`);
  if (text(fields.sentMs) !== '') told.push(`  First sent after ${text(fields.sentMs)} ms.`);
  if (text(fields.firstByteMs) !== '') {
    told.push(`  First byte after ${text(fields.firstByteMs)} ms.`);
  }
  const blockedMs = text(fields.blockedMs);
  if (blockedMs !== '' && blockedMs !== '0') {
    told.push(`  It waited ${blockedMs} ms for its turn at upstreams that take nothing now.`);
  }
  if (fields.isReturn === true) told.push('  Its caller had been refused before.');
  if (text(fields.retryAfterMs) !== '') {
    told.push(`  The caller was told to come back in ${text(fields.retryAfterMs)} ms.`);
  }
  return told;
}

/** Names what the request asked, where a line of its tells it: earlier lines of the same content are its past. */
function contentsOf(lines: readonly LogLine[], requestId: string): ReadonlySet<string> {
  const contents = new Set<string>();
  for (const { fields } of lines) {
    if (fields.requestId === requestId && text(fields.content) !== '') {
      contents.add(text(fields.content));
    }
  }
  return contents;
}

/**
 * Whether a line is about the same content, about an upstream that was tried or the model that was needed, or
 * about all requests.
 */
function isAbout(line: LogLine, request: LogLine, contents: ReadonlySet<string>): boolean {
  const { message, fields, atMs } = line;
  if (message === 'request') return false;
  if (contents.has(text(fields.content))) return true;
  if (atMs < request.atMs - BEFORE_MS || atMs > request.atMs + AFTER_MS) return false;
  if (GENERAL.has(message)) return true;
  const upstreams = attemptsOf(request).map((attempt) => attempt.split(':')[0]);
  const isTried = upstreams.includes(text(fields.upstream));
  const isNeeded = fields.model !== undefined && fields.model === request.fields.model;
  return isTried || isNeeded;
}

function short({ message, atMs, from, fields }: LogLine): string {
  const left = new Set(['message', 'timestamp', 'level', 'process']);
  const rest = Object.entries(fields)
    .filter(([name]) => !left.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return `  ${new Date(atMs).toISOString()} ${from}: ${message} ${rest.join(' ')}`;
}

/** Tells in words what became of a request, with the lines that may say why; empty if no line has its id. */
export function tellRequest(lines: readonly LogLine[], requestId: string): string[] {
  const told: string[] = [];
  const requests = lines.filter(
    ({ message, fields }) => message.startsWith('request') && fields.requestId === requestId,
  );
  const contents = contentsOf(lines, requestId);
  for (const request of requests) {
    told.push(...describe(request));
    const about = lines
      .filter((line) => isAbout(line, request, contents))
      .sort((a, b) => a.atMs - b.atMs);
    if (about.length === 0) continue;
    told.push(`  Around it (${about.length} lines, the last ${MOST_LINES} at most):`);
    for (const line of about.slice(-MOST_LINES)) told.push(short(line));
  }
  return told;
}

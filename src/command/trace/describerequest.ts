import { endDescriptions } from './enddescriptions.js';
import type { LogLine } from './logline.js';

/** Lines up to this long before a request's end are shown: a load, with the unloads before it, takes up to 7 s. */
const BEFORE_MS = 10_000;
const AFTER_MS = 4000;
const MAX_LINES = 20;

/** Messages about events that affect all requests of an entry. */
const GENERAL_MESSAGES = new Set([
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

/** Returns the part of its prompt that barred a request; empty if none did. */
function barringPart({ barredBy }: LogLine['fields']): string {
  return text((barredBy as { part?: unknown } | undefined)?.part);
}

function attemptsOf({ fields }: LogLine): string[] {
  return Array.isArray(fields.attempts) ? fields.attempts.map(String) : [];
}

/** Describes a request that was refused for its route, its key or its customer's quota, not by an upstream. */
function describeRefusal({ fields, atMs, from }: LogLine): string[] {
  const reason = text(fields.reason);
  const output = [
    `${new Date(atMs).toISOString()} ${from}: refused as "${reason}" (${text(fields.status)}): ` +
      `${endDescriptions[reason] ?? 'see docs/ERRORS.md'}.`,
  ];
  if (fields.cost !== undefined) {
    output.push(
      `  Customer ${text(fields.customer)}: cost ${text(fields.cost)}, ${text(fields.left)} left at this entry, ` +
        `last answer of the quota holder ${text(fields.knownAgeMs)} ms before; limit ${text(fields.ratePerS)}/s, ` +
        `burst ${text(fields.burst)}, configuration ${text(fields.version)}.`,
    );
  }
  if (text(fields.retryAfterMs) !== '') {
    output.push(`  The caller was asked to retry after ${text(fields.retryAfterMs)} ms.`);
  }
  return output;
}

/** Describes with what a stream has to go on, if the request resumes one. */
function describeResumption({ fields }: LogLine): string[] {
  const { originSource, origin } = fields;
  if (originSource === undefined) return [];
  const versions = (origin ?? {}) as Readonly<Record<string, unknown>>;
  const begin = `software ${text(versions.softwareVersion) || '-'}, weights ${text(versions.weightsVersion) || '-'}`;
  const first = text(fields.resumes) || 'no request that it names';
  return [`  It resumed the stream of ${first}: ${begin} (${text(originSource)}).`];
}

function describe(line: LogLine): string[] {
  if (line.message === 'request refused') return describeRefusal(line);
  const { fields, from } = line;
  const end = text(fields.end);
  const target = [fields.service, fields.model, fields.adapter]
    .map(text)
    .filter((name) => name !== '');
  const output = [
    `${new Date(line.atMs).toISOString()} ${from}: ended as "${end}" after ${text(fields.totalMs)} ms: ` +
      `${endDescriptions[end] ?? 'see docs/ERRORS.md'}.`,
    `  It needed ${target.join(' / ') || 'no service'} by route ${text(fields.route) || '-'} of configuration ` +
      `${text(fields.version) || '-'}.`,
  ];
  const attempts = attemptsOf(line);
  if (text(fields.customer) !== '') {
    output.push(
      `  Customer ${text(fields.customer)} was charged ${text(fields.cost)} for each run.`,
    );
  }
  output.push(...describeResumption(line));
  if (attempts.length === 0) output.push('  It was sent to no upstream.');
  for (const attempt of attempts) output.push(`  Attempt: ${attempt}.`);
  if (text(fields.sentMs) !== '') output.push(`  First sent after ${text(fields.sentMs)} ms.`);
  if (text(fields.firstByteMs) !== '') {
    output.push(`  First byte after ${text(fields.firstByteMs)} ms.`);
  }
  const blockedMs = text(fields.blockedMs);
  if (blockedMs !== '' && blockedMs !== '0') {
    output.push(`  It waited ${blockedMs} ms in the queue of upstreams that accepted no requests.`);
  }
  const queuedMs = text(fields.queuedMs);
  if (queuedMs !== '') output.push(`  It waited ${queuedMs} ms in the queue of its entry.`);
  const part = barringPart(fields);
  if (part !== '') output.push(`  Part ${part} of its prompt crashes upstreams.`);
  if (fields.isReturn === true) output.push('  The caller had been refused before.');
  if (text(fields.retryAfterMs) !== '') {
    output.push(`  The caller was asked to retry after ${text(fields.retryAfterMs)} ms.`);
  }
  return output;
}

/** Describes why the queue of its entry refused a request, if it did. */
function describeQueueRefusal(lines: readonly LogLine[], requestId: string): string[] {
  const refusal = lines.find(
    ({ message, fields }) => message === 'queue refused' && fields.requestId === requestId,
  );
  if (!refusal) return [];
  const { reason, rank, position, expectedStartMs, waitedMs } = refusal.fields;
  return [
    `  The queue refused it as "${text(reason)}" (rank ${text(rank)}) after ${text(waitedMs)} ms: ` +
      `${text(position)} requests before it, start expected in ${text(expectedStartMs)} ms.`,
  ];
}

/** Returns the requests of one stream: the given one, the one that it resumes and others that resume the same. */
function requestsOfStream(lines: readonly LogLine[], requestId: string): ReadonlySet<string> {
  const own = lines.find(({ fields }) => fields.requestId === requestId && text(fields.resumes));
  const first = text(own?.fields.resumes) || requestId;
  const ids = new Set([requestId, first]);
  for (const { fields } of lines) if (fields.resumes === first) ids.add(text(fields.requestId));
  return ids;
}

/** The traits of a request that upstreams may have crashed under. */
interface Traits {
  readonly contents: ReadonlySet<string>;
  /** Parts of its prompt that barred it. */
  readonly parts: ReadonlySet<string>;
}

/** Returns the traits logged for a request. Earlier lines with the same ones show earlier runs. */
function traitsOf(lines: readonly LogLine[], requestId: string): Traits {
  const contents = new Set<string>();
  const parts = new Set<string>();
  for (const { fields } of lines) {
    if (fields.requestId !== requestId) continue;
    if (text(fields.content) !== '') contents.add(text(fields.content));
    const part = barringPart(fields);
    if (part !== '') parts.add(part);
  }
  return { contents, parts };
}

/** True if a line is about a content, or about a part of prompts or a run that held it. */
function hasTrait({ fields }: LogLine, { contents, parts }: Traits): boolean {
  if (contents.has(text(fields.content)) || parts.has(text(fields.part))) return true;
  const { sharedParts } = fields;
  return Array.isArray(sharedParts) && sharedParts.some((part) => parts.has(text(part)));
}

/**
 * True if a line is about the same content or part of prompts, or was logged around the request's end and is about an
 * upstream that it tried, the model that it needed, or all requests.
 */
function isRelated(line: LogLine, request: LogLine, traits: Traits): boolean {
  const { message, fields, atMs } = line;
  if (message === 'request') return false;
  if (hasTrait(line, traits)) return true;
  if (atMs < request.atMs - BEFORE_MS || atMs > request.atMs + AFTER_MS) return false;
  if (GENERAL_MESSAGES.has(message)) return true;
  const upstreams = attemptsOf(request).map((attempt) => attempt.split(':')[0]);
  const isTried = upstreams.includes(text(fields.upstream));
  const isNeeded = fields.model !== undefined && fields.model === request.fields.model;
  return isTried || isNeeded;
}

function formatLine({ message, atMs, from, fields }: LogLine): string {
  const left = new Set(['message', 'timestamp', 'level', 'process']);
  const rest = Object.entries(fields)
    .filter(([name]) => !left.has(name))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return `  ${new Date(atMs).toISOString()} ${from}: ${message} ${rest.join(' ')}`;
}

/**
 * Describes the outcome of a request, or of all requests for one stream, with the log lines that may explain it. Empty
 * if no line has its id.
 */
export function describeRequest(lines: readonly LogLine[], requestId: string): string[] {
  const output: string[] = [];
  const ids = requestsOfStream(lines, requestId);
  const requests = lines
    .filter(
      ({ message, fields }) => message.startsWith('request') && ids.has(text(fields.requestId)),
    )
    .sort((a, b) => a.atMs - b.atMs);
  const traits = traitsOf(lines, requestId);
  for (const request of requests) {
    output.push(...describe(request));
    output.push(...describeQueueRefusal(lines, text(request.fields.requestId)));
    const related = lines
      .filter((line) => isRelated(line, request, traits))
      .sort((a, b) => a.atMs - b.atMs);
    if (related.length === 0) continue;
    output.push(`  Related lines (${related.length} in all, the last ${MAX_LINES} at most):`);
    for (const line of related.slice(-MAX_LINES)) output.push(formatLine(line));
  }
  return output;
}

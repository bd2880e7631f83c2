import { MAX_TIMER_MS } from '../../base/index.js';
import type { Check } from './check.js';

/** An IPv4 address without leading zeros, and a port. */
const ADDRESS = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;
const MAX_OCTET = 255;
const MAX_PORT = 65_535;
/** Numbers beyond this are not exact, and the sum of a few of them may be infinite, from which a sum never returns. */
const MAX_NUMBER = Number.MAX_SAFE_INTEGER;

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isAddress(value: unknown): boolean {
  const parts = typeof value === 'string' ? ADDRESS.exec(value)?.slice(1) : undefined;
  if (!parts?.every((part) => String(Number(part)) === part)) return false;
  const port = Number(parts[4]);
  return (
    parts.slice(0, 4).every((octet) => Number(octet) <= MAX_OCTET) && port > 0 && port <= MAX_PORT
  );
}

/** Returns true for a number from `least` to `most`; JSON may also hold `1e400`, which is read as infinite. */
function isWithin(value: unknown, least: number, most: number): boolean {
  return typeof value === 'number' && value >= least && value <= most;
}

/** Returns the name of the first field of an object that does not pass its check. */
function invalidField(
  value: Readonly<Record<string, unknown>>,
  checks: Readonly<Record<string, Check>>,
): string | undefined {
  for (const [name, check] of Object.entries(checks)) {
    const field = Object.hasOwn(value, name) ? value[name] : undefined;
    if (!check(field ?? undefined)) return name;
  }
  return undefined;
}

/** Checks of values of unknown origin, and functions that combine them. A field that is null counts as missing. */
export const shape = {
  any: () => true,
  boolean: (value: unknown) => typeof value === 'boolean',
  string: (value: unknown) => typeof value === 'string',
  /** A string that is not empty. */
  text: (value: unknown) => typeof value === 'string' && value !== '',
  number: (value: unknown) => isWithin(value, -MAX_NUMBER, MAX_NUMBER),
  /** A number that is not negative. */
  amount: (value: unknown) => isWithin(value, 0, MAX_NUMBER),
  /** A time in ms that a timer can wait for. */
  duration: (value: unknown) => isWithin(value, 0, MAX_TIMER_MS),
  /** A number from 0 to 1. */
  probability: (value: unknown) => isWithin(value, 0, 1),
  /** A whole number that is not negative. */
  count: (value: unknown) => Number.isSafeInteger(value) && (value as number) >= 0,
  /** A whole number above 0. */
  positive: (value: unknown) => Number.isSafeInteger(value) && (value as number) > 0,
  /** A whole number from 1 to `most`. */
  positiveUpTo:
    (most: number): Check =>
    (value) =>
      Number.isSafeInteger(value) && isWithin(value, 1, most),
  address: isAddress,
  isObject,
  invalidField,
  oneOf:
    (...values: readonly unknown[]): Check =>
    (value) =>
      values.includes(value),
  optional:
    (check: Check): Check =>
    (value) =>
      value === undefined || value === null || check(value),
  listOf:
    (check: Check): Check =>
    (value) =>
      Array.isArray(value) && value.every(check),
  /** An object whose fields pass their checks; it may have more fields. */
  object:
    (checks: Readonly<Record<string, Check>>): Check =>
    (value) =>
      isObject(value) && invalidField(value, checks) === undefined,
  /** An object that passes the check which one of its fields selects. */
  variant:
    (name: string, checks: Readonly<Record<string, Check>>): Check =>
    (value) => {
      if (!isObject(value)) return false;
      const selector = String(value[name]);
      return Object.hasOwn(checks, selector) && checks[selector]!(value);
    },
} as const;

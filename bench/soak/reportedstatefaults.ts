import type { Dice } from './dice.js';
import type { Site } from './site.js';

type Fault = (site: Site, dice: Dice) => string;

const LIMITS_PER_S = [0.5, 2, 6];
/** Duration of a limit: longer than the time after which the checker judges it. */
const LIMIT = { leastMs: 5000, spreadMs: 4000 };
/** Delay between the first answer that reports that a server is leaving and its listing as draining. */
const LISTING_LAG = { leastMs: 4000, spreadMs: 3000 };
const BACKOFFS_S = ['1.5', '3', '4.25'];
const MAX_TURNED_AWAY = 3;

const nameLimit: Fault = (site, dice) => {
  const { server } = dice.pick(site.active());
  const last = server.limitSpans.at(-1);
  if (last && last.untilMs === undefined) return `${server.id} has a limit already`;
  const perS = dice.pick(LIMITS_PER_S);
  server.limitPerS = perS;
  const ms = LIMIT.leastMs + dice.below(LIMIT.spreadMs);
  setTimeout(() => {
    server.limitPerS = undefined;
  }, ms);
  return `${server.id} ${perS} a second for ${ms} ms`;
};

const leaveUnlisted: Fault = (site, dice) => {
  const old = dice.pick(site.active());
  const { server } = old;
  if (server.isLeaving) return `${server.id} is leaving already`;
  server.isLeaving = true;
  void site.addServer(server.service, [...server.models.keys()]);
  const ms = LISTING_LAG.leastMs + dice.below(LISTING_LAG.spreadMs);
  setTimeout(() => {
    if (!server.isDown && server.isLeaving) site.drain(old);
  }, ms);
  return `${server.id}, listed as draining ${ms} ms later`;
};

const wantPause: Fault = (site, dice) => {
  const { server } = dice.pick(site.active());
  server.retryAfterText = dice.pick(BACKOFFS_S);
  const count = 1 + dice.below(MAX_TURNED_AWAY);
  server.behaviors.push(...Array<'pause'>(count).fill('pause'));
  return `${server.id} ${server.retryAfterText} s`;
};

/** Limits, departures and backoffs that servers report in their answers, by name. */
export const reportedStateFaults: Readonly<Record<string, Fault>> = {
  nameLimit,
  leaveUnlisted,
  wantPause,
};

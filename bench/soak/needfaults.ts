import type { Dice } from './dice.js';
import type { Site } from './site.js';

type Fault = (site: Site, dice: Dice) => string;

const LIMITS_PER_S = [0.5, 2, 6];
/** Longer than the time until a limit is judged. */
const NEED = { leastMs: 5000, spreadMs: 4000 };
/** How much later the list says that a server leaves than its answers do. */
const LAG = { leastMs: 4000, spreadMs: 3000 };
const PAUSES_S = ['1.5', '3', '4.25'];
const MOST_TURNED_AWAY = 3;

const nameLimit: Fault = (site, dice) => {
  const { server } = dice.pick(site.present());
  const last = server.limitSpans.at(-1);
  if (last && last.untilMs === undefined) return `${server.id} has a limit already`;
  const perS = dice.pick(LIMITS_PER_S);
  server.limitPerS = perS;
  const ms = NEED.leastMs + dice.below(NEED.spreadMs);
  setTimeout(() => {
    server.limitPerS = undefined;
  }, ms);
  return `${server.id} ${perS} a second for ${ms} ms`;
};

const leaveUnlisted: Fault = (site, dice) => {
  const old = dice.pick(site.present());
  const { server } = old;
  if (server.isLeaving) return `${server.id} leaves already`;
  server.isLeaving = true;
  void site.addServer(server.service, [...server.models.keys()]);
  const ms = LAG.leastMs + dice.below(LAG.spreadMs);
  setTimeout(() => {
    if (!server.isDown && server.isLeaving) site.drain(old);
  }, ms);
  return `${server.id}, listed ${ms} ms later`;
};

const wantPause: Fault = (site, dice) => {
  const { server } = dice.pick(site.present());
  server.retryAfterText = dice.pick(PAUSES_S);
  const count = 1 + dice.below(MOST_TURNED_AWAY);
  server.behaviors.push(...Array<'pause'>(count).fill('pause'));
  return `${server.id} ${server.retryAfterText} s`;
};

/** Faults of servers that say something of themselves in their answers, by name. */
export const needFaults: Readonly<Record<string, Fault>> = { nameLimit, leaveUnlisted, wantPause };

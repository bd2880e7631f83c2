import type { Dice } from './dice.js';
import type { Site } from './site.js';

type Fault = (site: Site, dice: Dice) => string;

/** When a late write is carried out, and when the server's next own one corrects it. */
const LATE_WRITE = { leastMs: 2500, spreadMs: 1500, correctedMs: 1200 };

/** A server leaves without reporting it: its record is removed, and it continues to serve. */
const removeServer: Fault = (site, dice) => {
  const old = dice.pick(site.active());
  void site.addServer(old.server.service, [...old.server.models.keys()]);
  site.removeListing(old);
  return old.server.id;
};

/** An earlier write of a server is carried out after it has reported that it is leaving. */
const writeLate: Fault = (site, dice) => {
  const old = dice.pick(site.active());
  void site.addServer(old.server.service, [...old.server.models.keys()]);
  site.drain(old);
  const ms = LATE_WRITE.leastMs + dice.below(LATE_WRITE.spreadMs);
  setTimeout(() => site.relist(old, 'ready'), ms);
  setTimeout(() => site.relist(old, 'draining'), ms + LATE_WRITE.correctedMs);
  return `${old.server.id} ${ms} ms later`;
};

/** Calls of one entry to the store fail; the next ones succeed. */
const failCalls: Fault = (site, dice) => {
  const at = dice.below(site.storeProxies.length);
  site.storeProxies[at]!.reset();
  return site.entries[at]!.name;
};

/** Servers that leave unlike the others, and single failed calls meanwhile, by name. */
export const leavingFaults: Readonly<Record<string, Fault>> = {
  removeServer,
  writeLate,
  failCalls,
};

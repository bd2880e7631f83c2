import type { Dice } from './dice.js';
import type { Site } from './site.js';

type Fault = (site: Site, dice: Dice) => string;

function engines(site: Site): ReturnType<Site['active']> {
  return site.active().filter(({ server }) => server.service === 'engine');
}

/** Releases a version and replaces some engines by ones that run it; the others serve beside them. */
const release: Fault = (site, dice) => {
  const version = site.release();
  const replaced = engines(site).filter(() => dice.below(2) === 0);
  for (const old of replaced) {
    void site.addServer(old.server.service, [...old.server.models.keys()]);
    site.drain(old);
  }
  return `${version} at ${replaced.length} engines`;
};

/** Replaces all engines by ones of a new version at once. */
const releaseAll: Fault = (site) => {
  const version = site.release();
  const replaced = engines(site);
  for (const old of replaced) {
    void site.addServer(old.server.service, [...old.server.models.keys()]);
    site.drain(old);
  }
  return `${version} at all engines`;
};

/** Starts an engine beside those that serve. */
const addEngine: Fault = (site, dice) => {
  const models = ['m1', `m${2 + dice.below(2)}`];
  void site.addServer('engine', models);
  return `${site.softwareVersion} with ${models.join()}`;
};

/** Breaks all streams of an engine. */
const resetEngine: Fault = (site, dice) => {
  const { proxy, server } = dice.pick(engines(site));
  proxy.reset();
  site.serversDisturbedAtMs.push(performance.now());
  return server.id;
};

/** Releases of engines, and what breaks streams meanwhile, by name. */
export const releaseFaults: Readonly<Record<string, Fault>> = {
  release,
  releaseAll,
  addEngine,
  resetEngine,
};

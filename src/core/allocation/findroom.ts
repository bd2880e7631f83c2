import type { ModelId, Ms } from '../../base/index.js';
import { heldMb } from './heldmb.js';
import type { LoadProjection } from './loadprojection.js';
import { replicaLoss } from './replicaloss.js';
import type { Site } from './site.js';
import type { Victim } from './victim.js';

/** About how long an unload waits for the running requests of its model. */
const UNLOAD_MS = 1000;

interface Room {
  readonly evicted: readonly ModelId[];
  readonly loss: number;
  readonly waitMs: Ms;
}

/** Returns the models of an engine by ascending loss. Cached until the projection changes. */
function victimsAt(projection: LoadProjection, site: Site, loadMs: Ms): readonly Victim[] {
  const changed = site;
  if (site.victims.version !== projection.version) {
    changed.victims = { version: projection.version, byLoadMs: new Map() };
  }
  const known = site.victims.byLoadMs.get(loadMs);
  if (known) return known;
  const victims = site.placed.map((placed) => ({
    placed,
    loss: replicaLoss(projection, site, placed, loadMs),
  }));
  victims.sort((a, b) => a.loss - b.loss);
  site.victims.byLoadMs.set(loadMs, victims);
  return victims;
}

/** Selects models to evict, by ascending loss, until the new one fits. Undefined if it cannot fit. */
export function findRoom(
  projection: LoadProjection,
  site: Site,
  neededMb: number,
  loadMs: Ms,
): Room | undefined {
  let { freeMb } = site;
  if (freeMb >= neededMb) return { evicted: [], loss: 0, waitMs: 0 };
  const { engine } = projection.input;
  const evicted: ModelId[] = [];
  let loss = 0;
  let waitMs = 0;
  for (const victim of victimsAt(projection, site, loadMs)) {
    if (victim.loss === Infinity) return undefined;
    const { model, adapters } = victim.placed;
    evicted.push(model);
    loss += victim.loss;
    if (site.portions.has(model)) waitMs = UNLOAD_MS;
    freeMb += heldMb(engine, model, adapters.size);
    if (freeMb >= neededMb) return { evicted, loss, waitMs };
  }
  return undefined;
}

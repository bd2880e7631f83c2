import type { Dice } from './dice.js';
import type { Site } from './site.js';

type Fault = (site: Site, dice: Dice) => string;

/** Answers of an engine end with their connections: whole ones, or inside an event. */
function openEnds(behavior: 'unframed-whole' | 'unframed-cut'): Fault {
  return (site, dice) => {
    const engines = site.active().filter(({ server }) => server.service === 'engine');
    const { server } = dice.pick(engines);
    const count = 1 + dice.below(12);
    for (let at = 0; at < count; at += 1) server.behaviors.push(behavior);
    return `${server.id} ${count} ${behavior}`;
  };
}

/** Faults of answers without a length, by name. */
export const openEndFaults: Readonly<Record<string, Fault>> = {
  endOpenly: openEnds('unframed-whole'),
  endInsideEvent: openEnds('unframed-cut'),
};

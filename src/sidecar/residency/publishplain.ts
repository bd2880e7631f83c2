import type { Context } from '../part/index.js';
import { followDocument } from './followdocument.js';
import { RecordPublisher } from './recordpublisher.js';

/** Tells the region of a plain service: it holds no models, only its phase and incarnation change. */
export function publishPlain(context: Context): { leave(): void } {
  const publisher = new RecordPublisher(context);
  const nothing = { residents: [], freeBytes: 0, role: '', demand: [] };
  const publish = (phase: 'ready' | 'leaving') => {
    publisher.publish({ ...nothing, phase }, context.settings.listen);
  };
  let isLeaving = false;
  const tell = () => publish(isLeaving ? 'leaving' : 'ready');
  followDocument(context, tell);
  context.intents.listen(({ type }) => {
    if (type === 'taken') tell();
  });
  return {
    leave() {
      // The host list says it again with each reading.
      if (isLeaving) return;
      isLeaving = true;
      tell();
    },
  };
}

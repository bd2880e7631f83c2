import type { Check } from './check.js';

/** Checks that the owner is that of the document in force (here or in another region) and the operator's team. */
export const checkOwner: Check = ({ owner, service }, { previous, ownerElsewhere, team }) => {
  const rightful = previous?.owner ?? ownerElsewhere ?? team;
  const pointer = '/owner';
  if (rightful !== undefined && owner !== rightful) {
    const detail = `${service} belongs to ${rightful}, not to ${owner}`;
    return [{ type: 'document-other-owner', pointer, detail }];
  }
  if (team !== undefined && owner !== team) {
    const detail = `${service} belongs to ${owner}; you act for ${team}`;
    return [{ type: 'document-other-owner', pointer, detail }];
  }
  return [];
};

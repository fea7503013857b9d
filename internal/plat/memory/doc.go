// Package memory accounts for the memory that a box keeps for others: bodies, answers, streams,
// connections and tunnels. All of it is charged to one account, whose limit follows from the memory of
// the box. What has no room is refused, so that the process stays within its box whatever others send
// or leave unread.
//
// The account is divided by dynamic thresholds: a reservation may grow up to what would be left free, so that
// small requests find room beside large ones, and a workspace up to a multiple of it. Less urgent
// requests leave a part of the account to more urgent ones.
package memory

// Package inspect reads the log lines of instances. It shows the lines that explain what happened to one request, and
// summarizes how a fleet performed: how soon it stopped using backend servers that failed in gray ways, how many
// requests they cost, and how client accounts were served.
//
// It uses nothing but the log lines. The number of lines about requests is limited, so the summary of a busy fleet
// covers a sample of its requests.
package inspect
